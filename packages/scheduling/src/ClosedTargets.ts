/**
 * All targets that take no new work for a reason outside of the configuration: the platform lists
 * them as leaving, or a maintenance controller closed them. What a controller closed opens again
 * unless it is repeated, so that a controller that died leaves nothing closed.
 */
import { type EntryId, type InstanceId } from '@acaciadock/core';

const CLOSED_FOR_MS = 5_000;

interface Closure {
  readonly instanceIds: ReadonlySet<InstanceId>;
  /** Monotonic milliseconds. */
  readonly untilMs: number;
}

export class ClosedTargets {
  private listed: ReadonlySet<InstanceId> = new Set();

  private readonly closures = new Map<EntryId, Closure>();

  setListed(listed: ReadonlySet<InstanceId>): void {
    this.listed = listed;
  }

  close(byEntryId: EntryId, instanceIds: readonly InstanceId[], nowMs: number): void {
    if (instanceIds.length === 0) this.closures.delete(byEntryId);
    else {
      const untilMs = nowMs + CLOSED_FOR_MS;
      this.closures.set(byEntryId, { instanceIds: new Set(instanceIds), untilMs });
    }
  }

  /** Lets closures lapse that were not repeated; whether any did. */
  lapse(nowMs: number): boolean {
    const { size } = this.closures;
    this.closures.forEach(({ untilMs }, entryId) => {
      if (untilMs <= nowMs) this.closures.delete(entryId);
    });
    return this.closures.size !== size;
  }

  all(): ReadonlySet<InstanceId> {
    const all = new Set(this.listed);
    this.closures.forEach(({ instanceIds }) => instanceIds.forEach((id) => all.add(id)));
    return all;
  }
}
