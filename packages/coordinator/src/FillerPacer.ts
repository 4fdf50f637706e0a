/**
 * Orders the pace of the filler tasks on one target, by the tail latencies that the target reports for
 * the serving tasks beside them.
 */
import { type Clock } from '@acaciadock/core';
import { type TargetPort } from '@acaciadock/execution';
import { PaceController } from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type Ownership } from './Ownership.js';

/**
 * Interval at which filler tasks beside serving ones are paced, in milliseconds. The load figures
 * cover half a second.
 */
export const PACE_PERIOD_MS = 450;

/** A pace order that the reports don't confirm by then is repeated, in milliseconds. */
const PACE_REPEAT_MS = 1_000;

export interface FillerPacerDeps {
  readonly port: Pick<TargetPort, 'pace'>;
  readonly ownership: Pick<Ownership, 'epoch'>;
  readonly clock: Clock;
  readonly log: (live: LiveRun, outcome: string) => void;
}

export class FillerPacer {
  private readonly pacing = new PaceController();

  private pacedMs = -Infinity;

  constructor(
    private readonly target: FleetTarget,
    private readonly deps: FillerPacerDeps,
  ) {}

  /** Paces the filler tasks by the report that has just arrived, at most once a period. */
  update(): void {
    const { target } = this;
    if (target.fillerCount === 0) return;
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs - this.pacedMs < PACE_PERIOD_MS) return;
    this.pacedMs = nowMs;
    const runs = [...target.runs.values()].filter((live) => live.phase === 'running');
    const serving = runs
      .filter((live) => live.place.step.spec.tailTargetMs > 0)
      .map((live) => ({ tailMs: live.loadFigure, targetMs: live.place.step.spec.tailTargetMs }));
    const percent = this.pacing.next(serving, nowMs);
    runs
      .filter((live) => live.place.step.spec.filler)
      .filter((live) => FillerPacer.needsOrder(live, percent, nowMs))
      .forEach((live) => {
        void this.order(live, percent);
      });
  }

  /**
   * Whether a pace order is needed. A target reports the work rate only of long-running tasks, so
   * only those can be compared with it; for all others it reports the progress.
   */
  private static needsOrder(live: LiveRun, percent: number, nowMs: number): boolean {
    if (live.pacePercent !== percent) return true;
    const isOverdue = live.place.step.spec.longRunning && nowMs - live.pacedMs > PACE_REPEAT_MS;
    return isOverdue && live.percent !== percent;
  }

  private async order(live: LiveRun, percent: number): Promise<void> {
    const { port, ownership, clock, log } = this.deps;
    Object.assign(live, { pacePercent: percent, pacedMs: clock.monotonicMs() });
    const { taskId, run } = live;
    const done = await port.pace(this.target.address, {
      taskId,
      run,
      percent,
      fencingToken: ownership.epoch,
    });
    // The next report contains the actual pace; if it differs, the order is repeated.
    log(live, done.isOk() ? `accepted ${percent}` : done.error.kind);
  }
}
