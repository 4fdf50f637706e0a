/** A run that may be alive on a target, with its last reported state. */
import { type TaskPlace } from '@acaciadock/jobs';
import { CrashPolicy, SETTLED_AFTER_MS } from '@acaciadock/placement';

/**
 * `planned`: the run is being journaled, no order has been sent. `ordered`: the start order is in
 * flight. `running`: the target has confirmed the run. `uncertain`: the run may be on the target,
 * or its order may still arrive. `stopping`: the run is to be stopped on its target.
 */
export type RunPhase = 'planned' | 'ordered' | 'running' | 'uncertain' | 'stopping';

/** Shortest interval over which the recent pace is measured: reported progress is in whole points. */
const PACE_STEP_PERCENT = 5;
const PACE_STEP_MS = 200;

interface PacePoint {
  readonly atMs: number;
  readonly percent: number;
}

export class LiveRun {
  phase: RunPhase = 'planned';

  /**
   * A report requested after this monotonic time that does not list the run proves that it is not
   * on the target and never will be; undefined while no report can prove that. It is 0 for an
   * adopted run; otherwise it is the time at which a start or a stop was confirmed.
   */
  absenceProvenAfterMs: number | undefined;

  /** The target has confirmed the run or has listed it. */
  isConfirmed = false;

  /** The result of the run is no longer needed, so it is stopped as soon as its target lists it. */
  isObsolete = false;

  /** The task is a suspect, and no task of another job had only just started on the target. */
  isAlone = false;

  /** Wall clock time at which the start order was sent, Unix milliseconds; 0 if that is unknown. */
  orderedUnixMs = 0;

  startedMs = 0;

  /** Last reported work rate (long-running tasks) or progress (all others), 0 to 100. */
  percent = 0;

  /** Last checkpoint of this run; that of the task may come from another run. */
  checkpoint: string;

  /** Monotonic time at which the target last listed the run. */
  reportedMs = 0;

  /** Whether the run started before this owner saw it, or resumed from a checkpoint. */
  isContinued = false;

  /** Starts of the last and of the current interval over which the recent pace is measured. */
  private paceFrom: PacePoint = { atMs: 0, percent: 0 };

  private nextPaceFrom: PacePoint = { atMs: 0, percent: 0 };

  /** Progress in the report that contained the newest checkpoint, 0 to 100. */
  checkpointPercent = 0;

  /** Time of the report that was last compared with the other runs of the target. */
  comparedReportMs = 0;

  /** Whether the projected total of this run is among the runtimes of its queue. */
  isProjected = false;

  /** Monotonic time at which `percent` or the checkpoint last changed. */
  progressedMs = 0;

  /**
   * Last load that the target reported: the tail latency of a serving task in milliseconds, the CPU
   * use of any other task in thousandths of a core.
   */
  loadFigure = 0;

  /** Ticket of the advice service that permits the run on its target; empty if none is needed. */
  ticket = '';

  /** Work rate of the last pace order to the target, 0 to 100. */
  pacePercent = 100;

  /** Monotonic time of the last pace order. */
  pacedMs = 0;

  constructor(
    readonly place: TaskPlace,
    /** Number of the run, counted per task from 1. */
    readonly run: number,
    readonly targetId: string,
    /** Lifetime of the target for which the run was planned; 0 if it was unknown. */
    readonly bornMs: number,
  ) {
    this.checkpoint = place.task.checkpoint;
  }

  /** Updates the progress from a report of the target. */
  recordReport(percent: number, nowMs: number): void {
    if (this.reportedMs === 0) {
      const start = this.isContinued
        ? { atMs: nowMs, percent }
        : { atMs: this.startedMs, percent: 0 };
      this.paceFrom = start;
      this.nextPaceFrom = start;
    }
    this.reportedMs = nowMs;
    this.percent = percent;
    if (percent - this.nextPaceFrom.percent < PACE_STEP_PERCENT) return;
    if (nowMs - this.nextPaceFrom.atMs < PACE_STEP_MS) return;
    this.paceFrom = this.nextPaceFrom;
    this.nextPaceFrom = { atMs: nowMs, percent };
  }

  /** Whether a report of its target has listed the run, so that its start was executed. */
  get isListed(): boolean {
    return this.reportedMs > 0;
  }

  /** How long the run was at work by the reports of its target; 0 if none has listed it. */
  get reportedWorkMs(): number {
    return this.reportedMs === 0 ? 0 : Math.max(0, this.reportedMs - this.startedMs);
  }

  /** Whether the target may yet crash because it started the run. */
  get isEarly(): boolean {
    return CrashPolicy.isEarly(this.isConfirmed, this.reportedWorkMs);
  }

  /** Monotonic time from which a report may show that the run has settled; 0 if it has not started. */
  get settledAfterMs(): number {
    return this.startedMs === 0 ? 0 : this.startedMs + SETTLED_AFTER_MS;
  }

  /** Total runtime at the pace since the start, in milliseconds; 0 if unknown. */
  get projectedTotalMs(): number {
    if (this.isContinued) return this.recentTotalMs;
    return this.totalMsSince({ atMs: this.startedMs, percent: 0 });
  }

  /** Total runtime at the pace of the last reports, in milliseconds; 0 if unknown. */
  get recentTotalMs(): number {
    return this.totalMsSince(this.paceFrom);
  }

  private totalMsSince({ atMs, percent }: PacePoint): number {
    const progress = this.percent - percent;
    if (this.reportedMs === 0 || progress <= 0 || this.percent >= 100) return 0;
    return ((this.reportedMs - atMs) / progress) * 100;
  }

  get taskId(): string {
    return this.place.task.taskId;
  }

  /** Whether a start order may be under way that the target has neither executed nor refused. */
  get mayYetStart(): boolean {
    if (this.phase === 'planned' || this.isConfirmed) return false;
    return this.phase !== 'stopping' || this.absenceProvenAfterMs === undefined;
  }
}
