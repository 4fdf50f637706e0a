/**
 * Compares the listings of instances. A target is one lifetime of its instance, so it has ended once
 * the listing shows another target there. The other proofs need an answer from its address, which
 * never comes if the new target has another one.
 */
import { type FleetInstance } from './contracts/index.js';
import { type CrashHandler } from './CrashHandler.js';
import { type TargetTable } from './TargetTable.js';

export class ReplacementMonitor {
  /** The last target that was listed on each instance. */
  private readonly targetIds = new Map<string, string>();

  constructor(
    private readonly targets: TargetTable,
    private readonly crashes: CrashHandler,
  ) {}

  /** Ends the runs of each target that another one has replaced since the last listing. */
  compare(listed: readonly FleetInstance[]): void {
    listed.forEach(({ instanceId, targetId }) => {
      if (targetId === '') return;
      const formerId = this.targetIds.get(instanceId);
      this.targetIds.set(instanceId, targetId);
      if (formerId !== undefined && formerId !== targetId) this.endRunsOf(formerId);
    });
  }

  private endRunsOf(targetId: string): void {
    const target = this.targets.get(targetId);
    if (target) void this.crashes.endRuns(target, [...target.runs.values()], 'replaced');
  }
}
