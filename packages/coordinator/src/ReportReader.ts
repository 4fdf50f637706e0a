/**
 * Takes up what a target says it runs and what has ended there, and concludes what is certain:
 * listed runs are alive, listed ends are ends, and a run that is missing although a report asked
 * for late enough would show it is gone.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type EndedRun, type HoldReport, type RunningTask } from '@acaciadock/execution';
import { type CommitOutcome } from '@acaciadock/journal';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type RunBook } from './RunBook.js';

/** A target lists at most this many ends at a time; with fewer the list is whole. */
const ENDS_PER_REPORT = 500;

export interface ReportResult {
  /** Settles when every end of the report is durable. */
  readonly commit: Promise<CommitOutcome>;
  readonly lastEnd: number;
  /** Runs there that nobody here knows of. */
  readonly strangers: readonly RunningTask[];
}

export class ReportReader {
  /** What a report says that is not taken up any more. */
  static readonly NOTHING: ReportResult = {
    commit: Promise.resolve('ownership-lost'),
    lastEnd: 0,
    strangers: [],
  };

  constructor(
    private readonly book: RunBook,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** `sentAtMs` is the monotonic time at which the report was asked for. */
  read(target: FleetTarget, report: HoldReport, sentAtMs: number): ReportResult {
    this.noteLifetime(target, report);
    const commits = report.ended
      .filter((ended) => ended.sequence > target.processedEnd)
      .map((ended) => this.readEnd(target, ended));
    const strangers = report.running.filter((running) => !this.readRunning(target, running));
    const isWhole = report.ended.length < ENDS_PER_REPORT;
    if (isWhole) commits.push(...this.concludeAbsent(target, report, sentAtMs));
    // An end is acknowledged by its number, so all earlier ones must be durable too.
    const endsCommit = ReportReader.join([target.endsCommit, ...commits]);
    Object.assign(target, { endsCommit });
    return {
      commit: endsCommit,
      lastEnd: target.processedEnd,
      strangers,
    };
  }

  private static async join(commits: readonly Promise<CommitOutcome>[]): Promise<CommitOutcome> {
    const outcomes = await Promise.all(commits);
    return outcomes.every((outcome) => outcome === 'durable') ? 'durable' : 'ownership-lost';
  }

  private noteLifetime(target: FleetTarget, report: HoldReport): void {
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

  private readEnd(target: FleetTarget, ended: EndedRun): Promise<CommitOutcome> {
    Object.assign(target, { processedEnd: ended.sequence });
    const live = target.runs.get(ended.taskId);
    if (live?.run !== ended.run) return Promise.resolve('durable');
    return this.book.finish(live, ended.end, ended.checkpoint);
  }

  /** False if the run is not known here. */
  private readRunning(target: FleetTarget, running: RunningTask): boolean {
    const live = target.runs.get(running.taskId);
    if (live?.run !== running.run) return false;
    const nowMs = this.clock.monotonicMs();
    if (running.percent !== live.percent || running.checkpoint !== live.place.task.checkpoint) {
      live.progressedMs = nowMs;
    }
    live.reportedMs = nowMs;
    live.percent = running.percent;
    live.loadFigure = running.loadFigure;
    if (running.checkpoint !== '')
      Object.assign(live.place.task, { checkpoint: running.checkpoint });
    if (live.phase === 'uncertain' || live.phase === 'ordered') this.book.markRunning(live);
    return true;
  }

  private concludeAbsent(
    target: FleetTarget,
    report: HoldReport,
    sentAtMs: number,
  ): Promise<CommitOutcome>[] {
    const listed = new Map(report.running.map(({ taskId, run }) => [taskId, run]));
    return [...target.runs.values()]
      .filter((live) => listed.get(live.taskId) !== live.run)
      .filter((live) => ReportReader.isProvenAbsent(live, report.bornMs, sentAtMs))
      .map((live) => this.book.finish(live, 'lost', ''));
  }

  private static isProvenAbsent(live: LiveRun, bornMs: number, sentAtMs: number): boolean {
    // A confirmed run does not outlive its target's lifetime.
    if (live.phase === 'running' && live.bornMs !== 0 && live.bornMs !== bornMs) return true;
    return live.absenceCountsFromMs !== undefined && live.absenceCountsFromMs < sentAtMs;
  }
}
