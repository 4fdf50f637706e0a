/**
 * Compares the listings of instances. A target is one lifetime of its instance, so it has ended once
 * the listing shows another target there, or the instance down without one. The other proofs need an
 * answer from its address, which comes only from the next process and never if that has another one.
 */
import { type FleetInstance } from './contracts/index.js';
import { type CrashEvidence, type CrashHandler } from './CrashHandler.js';
import { type FleetTarget } from './FleetTarget.js';
import { type TargetTable } from './TargetTable.js';

export class ReplacementMonitor {
  /** The last target that was listed on each instance. */
  private readonly targetIds = new Map<string, string>();

  /**
   * Monotonic time at which the first of the latest listings was requested that all show the
   * instance down, and since which its last target has not reported; by instance.
   */
  private readonly downSinceMs = new Map<string, number>();

  constructor(
    private readonly targets: TargetTable,
    private readonly crashes: CrashHandler,
  ) {}

  /** Ends the runs of each target that the listing, requested at this monotonic time, proves ended. */
  compare(listed: readonly FleetInstance[], requestedMs: number): void {
    const formerDownSinceMs = new Map(this.downSinceMs);
    this.downSinceMs.clear();
    listed.forEach((instance) => {
      this.checkReplaced(instance);
      this.checkDown(instance, requestedMs, formerDownSinceMs);
    });
  }

  private checkReplaced({ instanceId, targetId }: FleetInstance): void {
    if (targetId === '') return;
    const former = this.lastTargetOn(instanceId);
    this.targetIds.set(instanceId, targetId);
    if (former && former.targetId !== targetId) this.endRuns(former, 'replaced');
  }

  /**
   * One listing may be older than the target or its last report. So it takes two in a row, both
   * requested after the last report, that show the instance down, and a target that does not answer.
   * A listing that shows the instance up, or does not show it, starts the count anew.
   */
  private checkDown(
    { instanceId, state }: FleetInstance,
    requestedMs: number,
    formerDownSinceMs: ReadonlyMap<string, number>,
  ): void {
    const target = this.lastTargetOn(instanceId);
    if (state !== 'down' || !target) return;
    ReplacementMonitor.closeIdle(target, requestedMs);
    const formerMs = formerDownSinceMs.get(instanceId) ?? requestedMs;
    const sinceMs = target.reportedMs < formerMs ? formerMs : requestedMs;
    this.downSinceMs.set(instanceId, sinceMs);
    if (sinceMs === requestedMs || target.consecutiveFailures === 0) return;
    if (ReplacementMonitor.mayEndUnreplaced(target)) this.endRuns(target, 'listed-down');
  }

  /** Closes a target that no report is asked of, until it has answered one. */
  private static closeIdle(target: FleetTarget, requestedMs: number): void {
    if (target.runs.size > 0 || target.reportedMs >= requestedMs) return;
    Object.assign(target, { isConfirmed: false });
  }

  /**
   * Whether no start order may still be executed. The next process may have the same id, and would
   * accept an order that was meant for this one. All runs end together, as the cause of the crash is
   * one of them.
   */
  private static mayEndUnreplaced({ runs }: FleetTarget): boolean {
    return (
      runs.size > 0 &&
      [...runs.values()].every(({ phase, isConfirmed }) => phase === 'planned' || isConfirmed)
    );
  }

  private lastTargetOn(instanceId: string): FleetTarget | undefined {
    return this.targets.get(this.targetIds.get(instanceId) ?? '');
  }

  private endRuns(target: FleetTarget, evidence: CrashEvidence): void {
    void this.crashes.endRuns(target, [...target.runs.values()], evidence);
  }
}
