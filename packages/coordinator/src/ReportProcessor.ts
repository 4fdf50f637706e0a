/**
 * Processes the reports of targets: updates the runs that a target lists as running, applies the
 * ends that it lists, and finishes runs as lost if they are missing from a report that was
 * requested late enough to contain them.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type EndedRun, type HoldReport, type RunningTask } from '@acaciadock/execution';
import { type CommitOutcome } from '@acaciadock/journal';
import { type CrashHandler } from './CrashHandler.js';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type RunTracker } from './RunTracker.js';

/** Maximum number of ends in one report; a report with fewer is complete. */
const MAX_ENDS_PER_REPORT = 500;

export interface ReportResult {
  /** Settles when every end of the report that needs a record is durable. */
  readonly commit: Promise<CommitOutcome>;
  /** Sequence number of the last end that has been applied. */
  readonly lastEnd: number;
  /** Runs on the target that are not known here. */
  readonly unknownRuns: readonly RunningTask[];
}

export class ReportProcessor {
  /** Result of a report that is ignored because the driver is no longer active. */
  static readonly IGNORED_RESULT: ReportResult = {
    commit: Promise.resolve('ownership-lost'),
    lastEnd: 0,
    unknownRuns: [],
  };

  constructor(
    private readonly runTracker: RunTracker,
    private readonly crashes: CrashHandler,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** `sentAtMs` is the monotonic time at which the report was requested. */
  process(target: FleetTarget, report: HoldReport, sentAtMs: number): ReportResult {
    this.updateLifetime(target, report);
    const commits = report.ended
      .filter((ended) => ended.sequence > target.processedEnd)
      .map((ended) => this.applyEnd(target, ended));
    const unknownRuns = report.running.filter((running) => !this.updateRunning(target, running));
    const isComplete = report.ended.length < MAX_ENDS_PER_REPORT;
    if (isComplete) commits.push(...this.finishAbsent(target, report, unknownRuns, sentAtMs));
    // An acknowledgement covers all ends up to a number, so all earlier ones must be durable too.
    const endsCommit = ReportProcessor.join([target.endsCommit, ...commits]);
    Object.assign(target, { endsCommit });
    return {
      commit: endsCommit,
      lastEnd: target.processedEnd,
      unknownRuns,
    };
  }

  /** The end of a run of a job that was withdrawn needs no record before it is acknowledged. */
  private static async join(commits: readonly Promise<CommitOutcome>[]): Promise<CommitOutcome> {
    const outcomes = await Promise.all(commits);
    return outcomes.includes('ownership-lost') ? 'ownership-lost' : 'durable';
  }

  private updateLifetime(target: FleetTarget, report: HoldReport): void {
    if (target.bornMs === report.bornMs) return;
    if (target.bornMs !== 0) {
      this.logger.info('target-reborn', {
        targetId: target.targetId,
        bornMs: report.bornMs,
        formerBornMs: target.bornMs,
      });
    }
    if (target.bornMs === 0) Object.assign(target, { bornMs: report.bornMs });
    else target.beginLifetime(report.bornMs, this.clock.monotonicMs());
  }

  private applyEnd(target: FleetTarget, ended: EndedRun): Promise<CommitOutcome> {
    Object.assign(target, { processedEnd: ended.sequence });
    const live = target.runs.get(ended.taskId);
    // A target that lists the failure of a run has not crashed because of it.
    if (live?.run === ended.run && ended.end === 'failed') this.clearSuspicion(live);
    const commit =
      live?.run === ended.run
        ? this.runTracker.finish(live, ended.end, ended.checkpoint)
        : Promise.resolve('durable' as const);
    if (!this.runTracker.hasStartUnderWay(ended.taskId)) return commit;
    return this.runTracker.whenNoStartIsUnderWay(ended.taskId).then(() => commit);
  }

  /** Updates a run from its listing; false if the run is not known here. */
  private updateRunning(target: FleetTarget, running: RunningTask): boolean {
    const live = target.runs.get(running.taskId);
    if (live?.run !== running.run) return false;
    const nowMs = this.clock.monotonicMs();
    if (running.percent !== live.percent || running.checkpoint !== live.checkpoint) {
      live.progressedMs = nowMs;
    }
    live.recordReport(running.percent, nowMs);
    live.loadFigure = running.loadFigure;
    if (running.checkpoint !== '' && running.checkpoint !== live.checkpoint) {
      live.checkpoint = running.checkpoint;
      live.checkpointPercent = running.percent;
    }
    if (live.phase === 'uncertain' || live.phase === 'ordered') this.runTracker.markRunning(live);
    if (!live.isEarly) this.clearSuspicion(live);
    if (this.runTracker.isFurthest(live)) live.place.task.recordCheckpoint(running.checkpoint);
    return true;
  }

  /**
   * Clears the suspicion that the task crashes targets. A suspicion that is in the journal is cleared
   * there, too: the next owner has not seen the run at work and would blame it for a later crash.
   */
  private clearSuspicion({ place }: LiveRun): void {
    if (place.task.clearSuspicion(place.step.spec.longRunning)) {
      void this.runTracker.journal(place);
    }
  }

  private finishAbsent(
    target: FleetTarget,
    report: HoldReport,
    unknownRuns: readonly RunningTask[],
    sentAtMs: number,
  ): Promise<CommitOutcome>[] {
    // Every run on the target is listed, as in most reports.
    if (report.running.length - unknownRuns.length === target.runs.size) return [];
    const listed = new Map(report.running.map(({ taskId, run }) => [taskId, run]));
    const absent = [...target.runs.values()]
      .filter((live) => listed.get(live.taskId) !== live.run)
      .filter((live) => ReportProcessor.isProvenAbsent(live, sentAtMs));
    const ofFormer = absent.filter((live) => ReportProcessor.isOfFormer(live, report.bornMs));
    const others = absent.filter((live) => !ofFormer.includes(live));
    return [
      ...this.crashes.endRuns(target, ofFormer, 'reborn'),
      ...others.map((live) => this.runTracker.finish(live, 'lost', '')),
    ];
  }

  /** Whether the run was meant for an earlier lifetime of its target than the one that reports. */
  private static isOfFormer({ bornMs }: LiveRun, reportedBornMs: number): boolean {
    return bornMs !== 0 && reportedBornMs !== 0 && bornMs !== reportedBornMs;
  }

  /**
   * A later lifetime of the target is no proof by itself: it may have accepted the start after it was
   * asked for the report.
   */
  private static isProvenAbsent({ absenceProvenAfterMs }: LiveRun, sentAtMs: number): boolean {
    return absenceProvenAfterMs !== undefined && absenceProvenAfterMs < sentAtMs;
  }
}
