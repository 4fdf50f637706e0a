/** The targets of the fleet model: they refuse work if all slots are taken, and count by team. */
import { type TargetId, type TeamId } from '@acaciadock/core';
import { type VirtualClock } from './VirtualClock.js';

export interface TargetWork {
  readonly targetId: TargetId;
  readonly teamId: TeamId;
  readonly runMs: number;
}

export class ModelTargets {
  private readonly endedSlotMs = new Map<TeamId, number>();

  private readonly activeRuns = new Map<TargetWork, number>();

  private readonly running = new Map<TargetId, number>();

  private resetAtMs = 0;

  refused = 0;

  peakRunning = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly slots: number,
  ) {}

  /** Starts counting slot time anew; `refused` and `peakRunning` go on. */
  reset(): void {
    this.endedSlotMs.clear();
    this.resetAtMs = this.clock.monotonicMs();
  }

  /** Slot time by team since `reset`, including the runs in progress. */
  heldMs(): ReadonlyMap<TeamId, number> {
    const heldMs = new Map(this.endedSlotMs);
    this.activeRuns.forEach((startedAtMs, { teamId }) => {
      heldMs.set(teamId, (heldMs.get(teamId) ?? 0) + this.sinceResetMs(startedAtMs));
    });
    return heldMs;
  }

  /** Runs the work to its end, even if its sender is killed; false if all slots are taken. */
  run(work: TargetWork, onEnd: () => void): boolean {
    const running = this.running.get(work.targetId) ?? 0;
    if (running >= this.slots) {
      this.refused += 1;
      return false;
    }
    this.running.set(work.targetId, running + 1);
    this.peakRunning = Math.max(this.peakRunning, running + 1);
    const startedAtMs = this.clock.monotonicMs();
    this.activeRuns.set(work, startedAtMs);
    this.clock.after(work.runMs, () => {
      this.activeRuns.delete(work);
      this.running.set(work.targetId, (this.running.get(work.targetId) ?? 1) - 1);
      const heldMs = this.sinceResetMs(startedAtMs);
      this.endedSlotMs.set(work.teamId, (this.endedSlotMs.get(work.teamId) ?? 0) + heldMs);
      onEnd();
    });
    return true;
  }

  private sinceResetMs(startedAtMs: number): number {
    return this.clock.monotonicMs() - Math.max(startedAtMs, this.resetAtMs);
  }
}
