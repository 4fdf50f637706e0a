/**
 * The targets that take no new work for a reason outside the configuration: the platform lists them
 * as leaving, or a maintenance controller closed them. A closure expires unless the controller
 * repeats it, so that a controller that dies leaves no target closed.
 */
import { type EntryId, type InstanceId } from '@acaciadock/core';

const CLOSURE_TTL_MS = 5_000;

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
      const untilMs = nowMs + CLOSURE_TTL_MS;
      this.closures.set(byEntryId, { instanceIds: new Set(instanceIds), untilMs });
    }
  }

  /** Removes closures that were not repeated in time; returns whether there were any. */
  expire(nowMs: number): boolean {
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
