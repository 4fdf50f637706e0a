/**
 * Decides when a closed instance has no open run anywhere. An entry that has the closing version
 * in force grants the instance nothing more, and a grant given before must be sent within its
 * start window. So once every entry has reported that version, one start window later a report of
 * no open run from every gateway is final. An entry that stays silent is waited for until the
 * lease of whatever it may have started has lapsed.
 */
import { type Clock, type EntryId, type InstanceId } from '@acaciadock/core';
import { MAX_CLOCK_SKEW_MS, type WorkReply } from '@acaciadock/peers';

export interface DrainLimits {
  /** Longest time from a grant to its send. */
  readonly startWindowMs: number;
  /** An entry that has not reported for so long counts as silent. */
  readonly silentAfterMs: number;
  /** An entry that can't confirm that it is current stops starting work after this time. */
  readonly fenceMs: number;
}

export const DEFAULT_DRAIN_LIMITS: DrainLimits = {
  startWindowMs: 1_000,
  silentAfterMs: 3_000,
  fenceMs: 10_000,
};

/** What a drain waits for. */
export type DrainBlocker =
  | { readonly kind: 'open-runs'; readonly entryId: EntryId; readonly count: number }
  | { readonly kind: 'entry-behind'; readonly entryId: EntryId }
  | { readonly kind: 'entry-silent'; readonly entryId: EntryId; readonly waitMs: number }
  | { readonly kind: 'start-window'; readonly waitMs: number };

interface EntryReport {
  heardAtMs: number;
  queriedAtMs: number;
  configVersion: number;
  openRuns: ReadonlyMap<InstanceId, number>;
}

interface Closing {
  readonly version: number;
  readonly leaseMs: number;
  everywhereAtMs: number | undefined;
}

export class DrainTracker {
  private readonly reports = new Map<EntryId, EntryReport>();

  private readonly closings = new Map<InstanceId, Closing>();

  constructor(
    private readonly clock: Clock,
    private readonly limits: DrainLimits = DEFAULT_DRAIN_LIMITS,
  ) {}

  /** Forgets all that was reported: the role was lost in between, and work may have begun since. */
  reset(): void {
    this.reports.clear();
    this.closings.clear();
  }

  /** These entries may have work open. One that is new here is waited for from now on. */
  expect(entryIds: readonly EntryId[]): void {
    entryIds.forEach((entryId) => {
      if (this.reports.has(entryId)) return;
      this.reports.set(entryId, {
        heardAtMs: this.clock.monotonicMs(),
        queriedAtMs: Number.NEGATIVE_INFINITY,
        configVersion: -1,
        openRuns: new Map(),
      });
    });
  }

  /** An entry answered the query sent at `queriedAtMs` by the monotonic clock. */
  report(entryId: EntryId, reply: WorkReply, queriedAtMs: number): void {
    const known = this.reports.get(entryId);
    this.reports.set(entryId, {
      heardAtMs: this.clock.monotonicMs(),
      queriedAtMs,
      configVersion: Math.max(known?.configVersion ?? -1, reply.configVersion),
      openRuns: new Map(reply.openRuns.map(({ instanceId, count }) => [instanceId, count])),
    });
  }

  /** The instance is closed from `version` on; a run there may last `leaseMs`. */
  close(instanceId: InstanceId, version: number, leaseMs: number): void {
    if (this.closings.has(instanceId)) return;
    this.closings.set(instanceId, { version, leaseMs, everywhereAtMs: undefined });
  }

  /** The instance is no longer closed. */
  forget(instanceId: InstanceId): void {
    this.closings.delete(instanceId);
  }

  get closed(): readonly InstanceId[] {
    return [...this.closings.keys()];
  }

  isDrained(instanceId: InstanceId): boolean {
    return this.closings.has(instanceId) && this.blockers(instanceId).length === 0;
  }

  /** All that the drain of a closed instance waits for. */
  blockers(instanceId: InstanceId): readonly DrainBlocker[] {
    const closing = this.closings.get(instanceId);
    if (!closing) return [];
    const late = [...this.reports].flatMap(([entryId, report]) =>
      this.lateness(entryId, report, closing),
    );
    if (late.length > 0) {
      closing.everywhereAtMs = undefined;
      return late;
    }
    closing.everywhereAtMs ??= this.clock.monotonicMs();
    const finalFromMs = closing.everywhereAtMs + this.limits.startWindowMs + MAX_CLOCK_SKEW_MS;
    return [...this.reports].flatMap(([entryId, report]) =>
      this.openWork(entryId, report, instanceId, finalFromMs),
    );
  }

  private lateness(entryId: EntryId, report: EntryReport, closing: Closing): DrainBlocker[] {
    if (this.isSilent(report)) {
      const { startWindowMs, fenceMs } = this.limits;
      const boundMs = fenceMs + startWindowMs + closing.leaseMs + 2 * MAX_CLOCK_SKEW_MS;
      const waitMs = report.heardAtMs + boundMs - this.clock.monotonicMs();
      return waitMs > 0 ? [{ kind: 'entry-silent', entryId, waitMs }] : [];
    }
    if (report.configVersion >= closing.version) return [];
    return [{ kind: 'entry-behind', entryId }];
  }

  private openWork(
    entryId: EntryId,
    report: EntryReport,
    instanceId: InstanceId,
    finalFromMs: number,
  ): DrainBlocker[] {
    // A silent one got here only after the lease of all its work had lapsed.
    if (this.isSilent(report)) return [];
    const count = report.openRuns.get(instanceId) ?? 0;
    if (count > 0) return [{ kind: 'open-runs', entryId, count }];
    if (report.queriedAtMs >= finalFromMs) return [];
    const waitMs = Math.max(0, finalFromMs - this.clock.monotonicMs());
    return [{ kind: 'start-window', waitMs }];
  }

  private isSilent(report: EntryReport): boolean {
    return this.clock.monotonicMs() - report.heardAtMs > this.limits.silentAfterMs;
  }
}
