/** The gateway's target client, which also counts what it has running for the survey. */
import { type InstanceId, type ServiceId } from '@acaciadock/core';
import { TargetClient, type TargetEnd, type TargetRun } from '@acaciadock/gateway';
import { type RunCounter } from '@acaciadock/maintenance';

function add<Key>(counts: Map<Key, number>, key: Key, change: number): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}

export class CountingTargetClient extends TargetClient implements RunCounter {
  private readonly byInstance = new Map<InstanceId, number>();

  private readonly byService = new Map<ServiceId, number>();

  override async run(run: TargetRun): Promise<TargetEnd> {
    add(this.byInstance, run.targetId, 1);
    add(this.byService, run.serviceId, 1);
    try {
      return await super.run(run);
    } finally {
      add(this.byInstance, run.targetId, -1);
      add(this.byService, run.serviceId, -1);
    }
  }

  openRuns(instanceId: InstanceId): number {
    return this.byInstance.get(instanceId) ?? 0;
  }

  runningByService(): ReadonlyMap<ServiceId, number> {
    return this.byService;
  }
}
