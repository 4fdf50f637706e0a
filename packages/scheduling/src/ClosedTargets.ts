/**
 * The targets that are closed to new work for a reason outside the configuration: the platform
 * lists them as leaving, or another entry closed them with a `targets-closed` message. Such a
 * closure expires unless the entry repeats it, so that an entry that dies leaves no target closed.
 */
import { type EntryId, type InstanceId } from '@acaciadock/core';

/** Several times `REPEAT_PERIOD_MS` of `FleetWork`, so that lost messages do not end a closure. */
const CLOSURE_TTL_MS = 5_000;

interface Closure {
  readonly instanceIds: ReadonlySet<InstanceId>;
  /** Monotonic milliseconds. */
  readonly untilMs: number;
}

export class ClosedTargets {
  /** The targets that the platform lists as leaving. */
  private listed: ReadonlySet<InstanceId> = new Set();

  private readonly closures = new Map<EntryId, Closure>();

  /** Replaces the set of targets that the platform lists as leaving. */
  setLeaving(listed: ReadonlySet<InstanceId>): void {
    this.listed = listed;
  }

  /** Replaces the set of targets closed by an entry; an empty set ends its closures. */
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

  /** The targets closed for either reason. */
  all(): ReadonlySet<InstanceId> {
    const all = new Set(this.listed);
    this.closures.forEach(({ instanceIds }) => instanceIds.forEach((id) => all.add(id)));
    return all;
  }
}
