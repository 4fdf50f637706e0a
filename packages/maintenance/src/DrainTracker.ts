/**
 * Decides when a closed instance has no open run at any gateway. An entry that applies the
 * configuration version which closed the instance makes no further grants for it, and an earlier
 * grant must be sent within its start window. Once every entry has reported that version and one
 * start window has passed, reports of no open runs from all entries are therefore final. For a
 * silent entry the tracker waits until the leases of all work it may have started have expired.
 */
import { type Clock, type EntryId, type InstanceId } from '@acaciadock/core';
import { MAX_CLOCK_SKEW_MS, type WorkReply } from '@acaciadock/peers';

export interface DrainLimits {
  /**
   * Maximum time between making a grant and sending it to the instance. Must be at least
   * `START_WINDOW_MS` of the scheduling package's `GrantFactory`, which sets the limit of each
   * grant.
   */
  readonly startWindowMs: number;
  /** An entry that has not reported for this long counts as silent. */
  readonly silentAfterMs: number;
  /**
   * An entry that cannot confirm that its state is current stops starting work after this time.
   * Must not be smaller than the `fenceMs` of the membership; the default is larger.
   */
  readonly fenceMs: number;
}

export const DEFAULT_DRAIN_LIMITS: DrainLimits = {
  startWindowMs: 1_000,
  silentAfterMs: 3_000,
  fenceMs: 10_000,
};

/** A reason why an instance does not count as drained yet. */
export type DrainBlocker =
  /** The entry has reported open runs at the instance. */
  | { readonly kind: 'open-runs'; readonly entryId: EntryId; readonly count: number }
  /** The entry has not reported that it applies the version which closed the instance. */
  | { readonly kind: 'entry-behind'; readonly entryId: EntryId }
  /** The entry is silent, and leases of work that it may have started have not expired yet. */
  | { readonly kind: 'entry-silent'; readonly entryId: EntryId; readonly waitMs: number }
  /** The entry's last reply answers a query from before the end of the start window. */
  | { readonly kind: 'start-window'; readonly waitMs: number };

interface EntryReport {
  /** Time of the last reply, or of the first `expect` for an entry that has not replied. */
  lastReportAtMs: number;
  /** When the query of the last reply was sent. */
  queriedAtMs: number;
  configVersion: number;
  openRuns: ReadonlyMap<InstanceId, number>;
}

interface ClosedInstance {
  readonly version: number;
  readonly leaseMs: number;
  /** When every entry was first seen at `version` or later; undefined if some are not. */
  allEntriesCurrentAtMs: number | undefined;
}

export class DrainTracker {
  private readonly reports = new Map<EntryId, EntryReport>();

  private readonly closedInstances = new Map<InstanceId, ClosedInstance>();

  constructor(
    private readonly clock: Clock,
    private readonly limits: DrainLimits = DEFAULT_DRAIN_LIMITS,
  ) {}

  /** Discards all reports. Called with a new term of the role, as work may have begun since. */
  reset(): void {
    this.reports.clear();
    this.closedInstances.clear();
  }

  /** Adds entries that may have open work; drains also wait for these from now on. */
  expect(entryIds: readonly EntryId[]): void {
    entryIds.forEach((entryId) => {
      if (this.reports.has(entryId)) return;
      this.reports.set(entryId, {
        lastReportAtMs: this.clock.monotonicMs(),
        queriedAtMs: Number.NEGATIVE_INFINITY,
        configVersion: -1,
        openRuns: new Map(),
      });
    });
  }

  /** Records an entry's reply to the query sent at `queriedAtMs` by the monotonic clock. */
  report(entryId: EntryId, reply: WorkReply, queriedAtMs: number): void {
    const known = this.reports.get(entryId);
    this.reports.set(entryId, {
      lastReportAtMs: this.clock.monotonicMs(),
      queriedAtMs,
      configVersion: Math.max(known?.configVersion ?? -1, reply.configVersion),
      openRuns: new Map(reply.openRuns.map(({ instanceId, count }) => [instanceId, count])),
    });
  }

  /** Tracks an instance closed at `version`, on which a run can last up to `leaseMs`. */
  close(instanceId: InstanceId, version: number, leaseMs: number): void {
    if (this.closedInstances.has(instanceId)) return;
    this.closedInstances.set(instanceId, { version, leaseMs, allEntriesCurrentAtMs: undefined });
  }

  /** Stops tracking an instance that is no longer closed. */
  forget(instanceId: InstanceId): void {
    this.closedInstances.delete(instanceId);
  }

  /** The closed instances whose drains are tracked. */
  get closed(): readonly InstanceId[] {
    return [...this.closedInstances.keys()];
  }

  /** Whether the drain of a closed instance is complete. Advances the drain, like `blockers`. */
  isDrained(instanceId: InstanceId): boolean {
    return this.closedInstances.has(instanceId) && this.blockers(instanceId).length === 0;
  }

  /**
   * Everything that the drain of a closed instance still waits for; empty once it is drained. Also
   * advances the drain: the start window is counted from the first call that finds no entry
   * behind or silent, and it starts again after a call that does. Must be called regularly.
   */
  blockers(instanceId: InstanceId): readonly DrainBlocker[] {
    const closing = this.closedInstances.get(instanceId);
    if (!closing) return [];
    const late = [...this.reports].flatMap(([entryId, report]) =>
      this.entryBlockers(entryId, report, closing),
    );
    if (late.length > 0) {
      closing.allEntriesCurrentAtMs = undefined;
      return late;
    }
    closing.allEntriesCurrentAtMs ??= this.clock.monotonicMs();
    // Replies to queries sent from this time on are final.
    const finalFromMs =
      closing.allEntriesCurrentAtMs + this.limits.startWindowMs + MAX_CLOCK_SKEW_MS;
    return [...this.reports].flatMap(([entryId, report]) =>
      this.runBlockers(entryId, report, instanceId, finalFromMs),
    );
  }

  private entryBlockers(
    entryId: EntryId,
    report: EntryReport,
    closing: ClosedInstance,
  ): DrainBlocker[] {
    if (this.isSilent(report)) {
      const { startWindowMs, fenceMs } = this.limits;
      // How long work of the entry may still run after its last report: until its fence stops new
      // grants, the last grant is sent, and the lease of that run ends, plus twice the clock skew.
      // `closingWaitMs` in the credits package bounds the same time with one clock skew and drift.
      const maxWorkMs = fenceMs + startWindowMs + closing.leaseMs + 2 * MAX_CLOCK_SKEW_MS;
      const waitMs = report.lastReportAtMs + maxWorkMs - this.clock.monotonicMs();
      return waitMs > 0 ? [{ kind: 'entry-silent', entryId, waitMs }] : [];
    }
    if (report.configVersion >= closing.version) return [];
    return [{ kind: 'entry-behind', entryId }];
  }

  private runBlockers(
    entryId: EntryId,
    report: EntryReport,
    instanceId: InstanceId,
    finalFromMs: number,
  ): DrainBlocker[] {
    // entryBlockers has already waited until the leases of all work of a silent entry expired.
    if (this.isSilent(report)) return [];
    const count = report.openRuns.get(instanceId) ?? 0;
    if (count > 0) return [{ kind: 'open-runs', entryId, count }];
    if (report.queriedAtMs >= finalFromMs) return [];
    const waitMs = Math.max(0, finalFromMs - this.clock.monotonicMs());
    return [{ kind: 'start-window', waitMs }];
  }

  private isSilent(report: EntryReport): boolean {
    return this.clock.monotonicMs() - report.lastReportAtMs > this.limits.silentAfterMs;
  }
}
