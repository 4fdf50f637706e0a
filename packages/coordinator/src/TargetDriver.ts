/**
 * The task that owns the conversation with one target: it holds its lease, collects the ends, and
 * sends orders whose outcome it follows until it is certain.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import {
  type OrderFailure,
  type OrderReceipt,
  type StartOrder,
  type TargetPort,
} from '@acaciadock/execution';
import { PaceController } from '@acaciadock/placement';
import { ok, type Result } from 'neverthrow';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type Ownership } from './Ownership.js';
import { ReportReader, type ReportResult } from './ReportReader.js';
import { type RunBook } from './RunBook.js';

/**
 * Length of a lease, in milliseconds, below the platform's maximum: long enough that work
 * outlives a change of owner (about 2 s), short enough to give a lost target's work back soon.
 */
export const LEASE_MS = 5_000;

/** How long a target may keep a report back while nothing ends, in milliseconds. */
const REPORT_WAIT_MS = 1_000;

/**
 * The same while something runs that will end, in milliseconds. A report may get lost, and until
 * that is noticed no end is heard of; a shorter wait asks more often for little.
 */
const BUSY_REPORT_WAIT_MS = 250;

/** Filling tasks beside serving ones are paced at this interval: the figures are of half a second. */
const PACE_PERIOD_MS = 450;

/**
 * Ends are acknowledged only right after a report, in milliseconds: a target that was not heard of
 * for longer may have begun a new lifetime under the same id, whose ends are numbered anew, and
 * an old number would make it forget ends that nobody has seen. Less than any process takes to start.
 */
const CONTINUITY_MS = 100;

/** Acknowledges no end: only the driver's own loop does, one report after the other. */
const NOTHING_SEEN = 0;

/** Between two reports that can't be acknowledged yet, in milliseconds. */
const UNACKNOWLEDGED_PAUSE_MS = 150;

/** A share that the target does not show by then is ordered again, in milliseconds. */
const PACE_REPEAT_MS = 1_000;

/** Between two tries to reach a silent target, in milliseconds. */
const SILENT_PAUSE_MS = 250;

/** Between two tries of a stop, in milliseconds. */
const STOP_RETRY_MS = 100;

/** No new work after the target had no room, in milliseconds: about one report later. */
const NO_ROOM_PAUSE_MS = 150;

/** No new work after the target called itself unhealthy, in milliseconds. */
const UNHEALTHY_PAUSE_MS = 1_500;

export interface TargetDriverDeps {
  readonly port: TargetPort;
  readonly book: RunBook;
  readonly reader: ReportReader;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The target takes new work from now on. */
  readonly onConfirmed: () => void;
}

export class TargetDriver extends Disposable {
  private wakeUp: (() => void) | undefined;

  private readonly pacing = new PaceController();

  private pacedMs = -Infinity;

  constructor(
    private readonly target: FleetTarget,
    private readonly deps: TargetDriverDeps,
  ) {
    super();
  }

  /** Runs until disposed. */
  async run(): Promise<void> {
    while (this.isActive) {
      if (this.needsReport) await this.report();
      else await this.untilWoken();
    }
  }

  /** Tells the driver that there is something to hold or to find out. */
  wake(): void {
    this.wakeUp?.();
  }

  /** Sends the order of a run that is durable. */
  async start(live: LiveRun): Promise<void> {
    const { target } = this;
    const { port, ownership, clock } = this.deps;
    if (!this.isCurrent(live) || live.phase !== 'planned') return;
    if (!ownership.mayExtendLeases) {
      this.deps.book.stop(live);
      return;
    }
    Object.assign(live, { phase: 'ordered' });
    const sentAtMs = clock.monotonicMs();
    const order = this.startOrderOf(live, sentAtMs);
    const done = await port.start(target.address, order);
    this.noteLifetime(done, sentAtMs);
    if (!this.isActive) return;
    this.log('start', live, done.isOk() ? 'accepted' : done.error.kind);
    if (done.isOk()) this.deps.book.markRunning(live);
    else this.onStartFailed(live, done.error);
    this.wake();
  }

  /** A start that may have reached a lifetime which nobody has heard of yet. */
  private noteLifetime(done: Result<OrderReceipt, OrderFailure>, sentAtMs: number): void {
    const { lease } = this.target;
    if (done.isOk() && lease.isSameLifetime(done.value.clockMs, sentAtMs)) return;
    if (done.isErr() && done.error.kind !== 'unknown-outcome') return;
    lease.noteUnconfirmed(sentAtMs);
    // A report tells which lifetime it is; until then nothing more is placed there.
    if (done.isOk()) this.target.isConfirmed = false;
  }

  /** Repeats a stop until the target has answered it. */
  async stop(live: LiveRun): Promise<void> {
    const { port, ownership, clock } = this.deps;
    while (this.isActive && this.isCurrent(live)) {
      const { taskId, run } = live;
      const done = await port.stop(this.target.address, {
        taskId,
        run,
        fencingToken: ownership.epoch,
      });
      if (done.isOk() || done.error.kind === 'stale-run') {
        this.log('stop', live, 'accepted');
        Object.assign(live, { absenceCountsFromMs: clock.monotonicMs() });
        await this.exchange(0, NOTHING_SEEN);
        this.wake();
        return;
      }
      this.log('stop', live, done.error.kind);
      if (this.onCommonFailure(done.error)) return;
      await clock.sleep(STOP_RETRY_MS);
    }
  }

  /** Sets the share at which a filling task works. */
  private async pace(live: LiveRun, percent: number): Promise<void> {
    const { port, ownership } = this.deps;
    Object.assign(live, { pacePercent: percent, pacedMs: this.deps.clock.monotonicMs() });
    const { taskId, run } = live;
    const done = await port.pace(this.target.address, {
      taskId,
      run,
      percent,
      fencingToken: ownership.epoch,
    });
    // The next report shows the real share; if it differs, the order is repeated.
    this.log('pace', live, done.isOk() ? `accepted ${percent}` : done.error.kind);
  }

  private get isActive(): boolean {
    return !this.isDisposed && this.deps.ownership.isActive;
  }

  private get needsReport(): boolean {
    const { target } = this;
    if (target.entry === undefined) return false;
    if (target.isListed && target.failedHolds > 0) return true;
    if (!target.isConfirmed || target.runs.size > 0) return true;
    return target.acknowledgedEnd < target.processedEnd;
  }

  private endToAcknowledge(nowMs: number): number {
    const { target } = this;
    const isContinuous = target.failedHolds === 0 && nowMs - target.reportedMs < CONTINUITY_MS;
    return isContinuous ? target.durableEnd : 0;
  }

  private get needsPacing(): boolean {
    return this.target.fillerCount > 0 && this.target.servingCount > 0;
  }

  private get reportWaitMs(): number {
    const { target } = this;
    const isSettled = target.durableEnd === target.processedEnd;
    const mayWait = target.isConfirmed && isSettled && target.failedHolds === 0;
    if (!mayWait || target.runs.size === 0) return 0;
    if (target.runs.size > target.longRunningCount) return BUSY_REPORT_WAIT_MS;
    return this.needsPacing ? PACE_PERIOD_MS : REPORT_WAIT_MS;
  }

  private isCurrent(live: LiveRun): boolean {
    return this.target.runs.get(live.taskId) === live;
  }

  private untilWoken(): Promise<void> {
    return new Promise((resolve) => {
      this.wakeUp = () => {
        this.wakeUp = undefined;
        resolve();
      };
      this.register({ dispose: resolve });
    });
  }

  /** Of a task that lasts the target shows the share; of any other it shows the progress. */
  private static isOffPace(live: LiveRun, percent: number, nowMs: number): boolean {
    if (live.pacePercent !== percent) return true;
    const shows = live.place.step.spec.longRunning && nowMs - live.pacedMs > PACE_REPEAT_MS;
    return shows && live.percent !== percent;
  }

  private async report(): Promise<void> {
    const lastSeenEnd = this.endToAcknowledge(this.deps.clock.monotonicMs());
    const done = await this.exchange(this.reportWaitMs, lastSeenEnd);
    if (!this.isActive) return;
    if (done.isErr()) await this.onReportFailed(done.error);
    else await this.acknowledge(done.value);
  }

  /**
   * Asks for one report and takes it up. Several may be under way, and answers may overtake each
   * other: an older one adds nothing to a newer one.
   */
  private async exchange(
    waitMs: number,
    lastSeenEnd: number,
  ): Promise<Result<ReportResult, OrderFailure>> {
    const { target } = this;
    const { port, ownership, clock } = this.deps;
    const sentAtMs = clock.monotonicMs();
    const done = await port.hold(target.address, {
      fencingToken: ownership.epoch,
      lastSeenEnd,
      leaseUntilMs: this.leaseUntilMs(sentAtMs),
      waitMs,
    });
    if (done.isErr() || !this.isActive) return done.map(() => ReportReader.NOTHING);
    const result = this.deps.reader.read(target, done.value, sentAtMs);
    this.noteAnswer(done.value.clockMs, sentAtMs, lastSeenEnd);
    result.strangers.forEach((stranger) => {
      void port.stop(target.address, { ...stranger, fencingToken: ownership.epoch });
    });
    this.paceFillers();
    return ok(result);
  }

  private noteAnswer(clockMs: number, sentAtMs: number, lastSeenEnd: number): void {
    const { target } = this;
    const nowMs = this.deps.clock.monotonicMs();
    target.lease.show(clockMs, sentAtMs, nowMs);
    const wasClosed = !target.isConfirmed || target.failedHolds > 0;
    target.isConfirmed = true;
    target.reportedMs = nowMs;
    if (lastSeenEnd <= target.processedEnd && lastSeenEnd > target.acknowledgedEnd) {
      target.acknowledgedEnd = lastSeenEnd;
    }
    target.failedHolds = 0;
    if (wasClosed) this.deps.onConfirmed();
  }

  /** An order without an answer may have been carried out; a report tells that at once. */
  private async settleStart(live: LiveRun): Promise<void> {
    await this.exchange(0, NOTHING_SEEN);
    if (this.isActive && this.isCurrent(live) && live.phase === 'uncertain') {
      this.deps.book.stop(live);
    }
  }

  /** Sets the share of what fills by what the neighbours that serve have just shown. */
  private paceFillers(): void {
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
      .filter((live) => TargetDriver.isOffPace(live, percent, nowMs))
      .forEach((live) => {
        void this.pace(live, percent);
      });
  }

  private async acknowledge({ commit, lastEnd }: ReportResult): Promise<void> {
    const { bornMs } = this.target;
    const settled = commit.then((outcome) => {
      if (this.target.bornMs !== bornMs) return;
      if (outcome === 'durable' && lastEnd > this.target.durableEnd) {
        this.target.durableEnd = lastEnd;
      }
    });
    await Promise.race([settled, this.deps.clock.sleep(UNACKNOWLEDGED_PAUSE_MS)]);
  }

  private leaseUntilMs(nowMs: number): number | undefined {
    const { target } = this;
    if (!target.lease.isKnown || target.runs.size === 0) return undefined;
    // A silent target may still hear us. Extending its lease would put off for ever the moment
    // from which its work may run elsewhere.
    if (target.failedHolds > 0) return undefined;
    if (!this.deps.ownership.mayExtendLeases) return undefined;
    return target.lease.grant(LEASE_MS, nowMs);
  }

  private startOrderOf(live: LiveRun, nowMs: number): StartOrder {
    const { place, taskId, run } = live;
    return {
      taskId,
      run,
      spec: place.job.definition.spec.spec,
      leaseUntilMs: this.target.lease.grant(LEASE_MS, nowMs),
      fencingToken: this.deps.ownership.epoch,
      checkpoint: place.task.checkpoint,
      ticket: live.ticket,
    };
  }

  private onStartFailed(live: LiveRun, failure: OrderFailure): void {
    const { book, clock } = this.deps;
    if (!this.isCurrent(live)) return;
    const nowMs = clock.monotonicMs();
    if (failure.kind === 'unknown-outcome') {
      Object.assign(live, { phase: 'uncertain' });
      void this.settleStart(live);
      return;
    }
    if (failure.kind === 'no-room') this.target.closedUntilMs = nowMs + NO_ROOM_PAUSE_MS;
    if (failure.kind === 'unhealthy') this.target.closedUntilMs = nowMs + UNHEALTHY_PAUSE_MS;
    if (failure.kind === 'unreachable') this.target.failedHolds += 1;
    if (this.onCommonFailure(failure)) return;
    void book.finish(live, 'lost', '');
  }

  private async onReportFailed(failure: OrderFailure): Promise<void> {
    const { target } = this;
    const { clock } = this.deps;
    target.failedHolds += 1;
    if (target.failedHolds === 1) {
      this.deps.logger.warn('target-silent', {
        targetId: target.targetId,
        reason: failure.kind,
        runs: target.runs.size,
      });
    }
    this.onCommonFailure(failure);
    // One report may get lost on its way, so the first is repeated at once.
    if (target.failedHolds > 1) await clock.sleep(SILENT_PAUSE_MS);
  }

  /** Handles what ends the ownership or the target; false for anything else. */
  private onCommonFailure(failure: OrderFailure): boolean {
    if (failure.kind === 'fenced') {
      this.deps.ownership.end('fenced');
      return true;
    }
    if (failure.kind !== 'other-lifetime') return false;
    // The address answers for another lifetime, so the one that ran our work is over.
    [...this.target.runs.values()].forEach((live) => {
      void this.deps.book.finish(live, 'lost', '');
    });
    this.target.failedHolds += 1;
    return true;
  }

  /** Orders that went well are counted only: the placing of a step is logged as a whole. */
  private log(order: string, live: LiveRun, outcome: string): void {
    const { logger } = this.deps;
    const isRoutine = order === 'start' && outcome === 'accepted';
    const note = {
      order,
      jobId: live.place.job.jobId,
      taskId: live.taskId,
      run: live.run,
      targetId: live.targetId,
      fencingToken: this.deps.ownership.epoch,
      outcome,
    };
    if (isRoutine) logger.debug('order', note);
    else logger.info('order', note);
  }
}
