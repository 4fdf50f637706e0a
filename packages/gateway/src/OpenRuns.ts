/** Counts runs that have not ended, by target and service, whether or not a caller still waits. */
import { type InstanceId, type ServiceId } from '@acaciadock/core';

function add<Key>(counts: Map<Key, number>, key: Key, change: number): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}

interface OpenRun {
  readonly targetId: InstanceId;
  readonly serviceId: ServiceId;
}

export class OpenRuns {
  private readonly byTarget = new Map<InstanceId, number>();

  private readonly byService = new Map<ServiceId, number>();

  private openCount = 0;

  /** Number of all runs that have not ended. */
  get total(): number {
    return this.openCount;
  }

  begin({ targetId, serviceId }: OpenRun): void {
    this.openCount += 1;
    add(this.byTarget, targetId, 1);
    add(this.byService, serviceId, 1);
  }

  end({ targetId, serviceId }: OpenRun): void {
    this.openCount -= 1;
    add(this.byTarget, targetId, -1);
    add(this.byService, serviceId, -1);
  }

  /** Number of runs on one target that have not ended. */
  openRuns(instanceId: InstanceId): number {
    return this.byTarget.get(instanceId) ?? 0;
  }

  runningByService(): ReadonlyMap<ServiceId, number> {
    return this.byService;
  }
}
