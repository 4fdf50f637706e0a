/**
 * Handles all communication with one target: extends its lease, collects its reports, acknowledges
 * the ends in them, and sends start, stop and pace orders. The outcome of a start or a stop is
 * followed up until it is certain.
 */
import { type Clock, Disposable, type Logger, type WorkMeter } from '@acaciadock/core';
import {
  type OrderFailure,
  type OrderReceipt,
  type StartOrder,
  type TargetPort,
} from '@acaciadock/execution';
import { ok, type Result } from 'neverthrow';
import { type CrashHandler } from './CrashHandler.js';
import { FillerPacer } from './FillerPacer.js';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type LoadMeter } from './LoadMeter.js';
import { type Ownership } from './Ownership.js';
import { ReportProcessor, type ReportResult } from './ReportProcessor.js';
import { ReportTiming } from './ReportTiming.js';
import { type RunTracker } from './RunTracker.js';
import { startObstacleOf } from './startObstacleOf.js';

/**
 * Length of a lease, in milliseconds, below the platform's maximum. It is long enough for runs to
 * survive a change of owner (about 2 s) and short enough to restart the runs of a lost target soon.
 */
export const LEASE_MS = 5_000;

/**
 * Ends are acknowledged only within this time after a report, in milliseconds. A target that has
 * not reported for longer may have restarted under the same id. The numbering of its ends has then
 * begun again, and an old number would make it discard ends that nobody has received. The time is
 * shorter than any process takes to start.
 */
const MAX_REPORT_GAP_MS = 100;

/**
 * `lastSeenEnd` of requests that acknowledge no end. Only the report loop of the driver, which
 * sends one request after the other, acknowledges ends.
 */
const NO_END_SEEN = 0;

/** Maximum wait for a report's ends to become durable before the next request, in milliseconds. */
const COMMIT_WAIT_MS = 150;

/** Retry delay for a target that does not answer, in milliseconds. */
const SILENT_RETRY_MS = 250;

/**
 * A suspect, and the first task on an idle target, starts only on a target that has reported within this time, in
 * milliseconds. An unanswered start of a suspect counts as a crash that it has caused, so the target must not have been
 * down before. An idle target may have begun a new lifetime, with another clock and of another kind, unnoticed; the time
 * is shorter than any process takes to start.
 */
const START_REPORT_AGE_MS = 100;

/** Retry delay of a stop order, in milliseconds. */
const STOP_RETRY_MS = 100;

/** No tasks are placed this long after a `no-room` answer, in milliseconds: about one report. */
const NO_ROOM_PAUSE_MS = 150;

/** No tasks are placed this long after an `unhealthy` answer, in milliseconds. */
const UNHEALTHY_PAUSE_MS = 1_500;

export interface TargetDriverDeps {
  readonly port: TargetPort;
  readonly runTracker: RunTracker;
  readonly reportProcessor: ReportProcessor;
  readonly crashes: CrashHandler;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly meter: WorkMeter;
  readonly load: LoadMeter;
  /** Called when the target has answered and accepts new tasks from now on. */
  readonly onConfirmed: () => void;
}

export class TargetDriver extends Disposable {
  private wakeUp: (() => void) | undefined;

  /** The check under way of whether the target is alive. */
  private livenessCheck: Promise<boolean> | undefined;

  private readonly pacer: FillerPacer;

  private readonly timing: ReportTiming;

  constructor(
    private readonly target: FleetTarget,
    private readonly deps: TargetDriverDeps,
  ) {
    super();
    this.timing = new ReportTiming(target, deps.clock);
    this.pacer = new FillerPacer(target, {
      ...deps,
      log: (live, outcome) => this.log('pace', live, outcome),
    });
  }

  /** Requests reports until the driver is disposed or the ownership ends. */
  async run(): Promise<void> {
    while (this.isActive) {
      if (this.needsReport) await this.report();
      else await this.waitForWake();
    }
  }

  /** Wakes the report loop if it is waiting, as the target may need a report now. */
  wake(): void {
    this.wakeUp?.();
  }

  /** Sends the start order of a durable run. */
  async start(live: LiveRun): Promise<void> {
    const { target } = this;
    const { port, clock, meter } = this.deps;
    if (!this.isPlanned(live)) return;
    const isSilent = this.needsReportBefore(live) && !(await this.hasJustReported());
    if (!this.isPlanned(live)) return;
    const obstacle = isSilent
      ? 'target-silent'
      : startObstacleOf(live, target, this.deps.ownership);
    if (obstacle) {
      this.log('start', live, obstacle);
      this.deps.runTracker.stop(live);
      return;
    }
    Object.assign(live, { phase: 'ordered', orderedUnixMs: clock.unixMs() });
    const sentAtMs = clock.monotonicMs();
    const order = this.startOrderOf(live, sentAtMs);
    const done = await meter.measure('starts', () => port.start(target.address, order));
    this.checkLifetime(done, sentAtMs);
    if (!this.isActive) return;
    this.log('start', live, done.isOk() ? 'accepted' : done.error.kind);
    if (done.isOk()) this.deps.runTracker.markRunning(live);
    else this.onStartFailed(live, done.error);
    this.wake();
  }

  private isPlanned(live: LiveRun): boolean {
    return this.isCurrent(live) && live.phase === 'planned';
  }

  /** Asks the target for a report, if the start needs one, while the run is being journaled. */
  prepareStart(live: LiveRun): void {
    if (this.needsReportBefore(live)) void this.hasJustReported();
  }

  /** Whether the start of the run needs a report first: nothing else shows that the target still lives. */
  private needsReportBefore(live: LiveRun): boolean {
    return live.isAlone || this.isIdle;
  }

  /** Whether the report loop waits until the target is in use. */
  private get isIdle(): boolean {
    return this.wakeUp !== undefined;
  }

  private async checkLiveness(): Promise<boolean> {
    // A suspect's target is watched from now on.
    if (this.target.isIsolated) this.wake();
    const done = await this.requestReport(0, NO_END_SEEN, false);
    this.livenessCheck = undefined;
    if (done.isErr() && this.isActive) {
      // The report loop of an idle target stands still; it has to notice a silence, too.
      if (this.isIdle) void this.onReportFailed(done.error);
      this.wake();
    }
    return done.isOk();
  }

  /** Whether the last report is new, or the target answers a request for one. */
  private async hasJustReported(): Promise<boolean> {
    const ageMs = this.deps.clock.monotonicMs() - this.target.reportedMs;
    if (ageMs <= START_REPORT_AGE_MS) return true;
    this.livenessCheck ??= this.checkLiveness();
    return this.livenessCheck;
  }

  /** Handles a start that may have reached a lifetime of the target that has not reported yet. */
  private checkLifetime(done: Result<OrderReceipt, OrderFailure>, sentAtMs: number): void {
    const { lease } = this.target;
    if (done.isOk() && lease.isSameLifetime(done.value.clockMs, sentAtMs)) return;
    if (done.isErr() && done.error.kind !== 'unknown-outcome') return;
    lease.recordUnconfirmedStart(sentAtMs);
    // Only a report identifies the lifetime; until then no more tasks are placed on the target.
    if (done.isOk()) this.target.isConfirmed = false;
  }

  /** Sends a stop order and retries it until the target has answered. */
  async stop(live: LiveRun): Promise<void> {
    const { port, ownership, clock } = this.deps;
    let loggedOutcome = '';
    while (this.isActive && this.isCurrent(live)) {
      const { taskId, run } = live;
      const done = await port.stop(this.target.address, {
        taskId,
        run,
        fencingToken: ownership.epoch,
      });
      if (done.isOk() || done.error.kind === 'stale-run') {
        this.log('stop', live, 'accepted');
        this.deps.runTracker.markStopAccepted(live);
        await this.requestReport(0, NO_END_SEEN);
        this.wake();
        return;
      }
      // A target that is down refuses every retry, so only a new outcome is logged.
      if (done.error.kind !== loggedOutcome) this.log('stop', live, done.error.kind);
      loggedOutcome = done.error.kind;
      if (this.handleCommonFailure(done.error)) return;
      await clock.sleep(STOP_RETRY_MS);
    }
  }

  private get isActive(): boolean {
    return !this.isDisposed && this.deps.ownership.isActive;
  }

  private get needsReport(): boolean {
    const { target } = this;
    if (target.entry === undefined) return false;
    if (target.isListed && target.consecutiveFailures > 0) return true;
    if (!target.isConfirmed || target.runs.size > 0) return true;
    return target.acknowledgedEnd < target.processedEnd;
  }

  private endToAcknowledge(nowMs: number): number {
    const { target } = this;
    const isContinuous =
      target.consecutiveFailures === 0 && nowMs - target.reportedMs < MAX_REPORT_GAP_MS;
    return isContinuous ? target.durableEnd : 0;
  }

  private isCurrent(live: LiveRun): boolean {
    return this.target.runs.get(live.taskId) === live;
  }

  private waitForWake(): Promise<void> {
    return new Promise((resolve) => {
      this.wakeUp = () => {
        this.wakeUp = undefined;
        resolve();
      };
      this.register({ dispose: resolve });
    });
  }

  private async report(): Promise<void> {
    const lastSeenEnd = this.endToAcknowledge(this.deps.clock.monotonicMs());
    const done = await this.requestReport(this.timing.waitMs, lastSeenEnd);
    if (!this.isActive) return;
    if (done.isErr()) {
      await this.onReportFailed(done.error);
      return;
    }
    await this.awaitDurableEnds(done.value);
    const pauseMs = this.timing.pauseMs(this.deps.load.busyShare);
    if (pauseMs > 0) await this.deps.clock.sleep(pauseMs);
  }

  /**
   * Requests one report and processes it. Several requests may be in flight, and their answers may
   * arrive out of order: a late older answer adds nothing to a newer one. A target that may have begun a new
   * lifetime gets no lease: on its new clock the expiry would be far in the future.
   */
  private async requestReport(
    waitMs: number,
    lastSeenEnd: number,
    extendsLease = true,
  ): Promise<Result<ReportResult, OrderFailure>> {
    const { target } = this;
    const { port, ownership, clock, meter, reportProcessor } = this.deps;
    const sentAtMs = clock.monotonicMs();
    const request = {
      fencingToken: ownership.epoch,
      lastSeenEnd,
      leaseUntilMs: extendsLease ? this.leaseUntilMs(sentAtMs) : undefined,
      waitMs,
    };
    const done = await meter.measure('holds', () => port.hold(target.address, request));
    if (done.isErr() || !this.isActive) return done.map(() => ReportProcessor.IGNORED_RESULT);
    const hadEarlyRuns = target.isIsolated && target.hasEarlyRuns;
    const result = meter.measure('reports', () =>
      reportProcessor.process(target, done.value, sentAtMs),
    );
    this.recordReport(done.value.clockMs, sentAtMs, lastSeenEnd);
    result.unknownRuns.forEach((unknownRun) => {
      void port.stop(target.address, { ...unknownRun, fencingToken: ownership.epoch });
    });
    this.pacer.update();
    if (hadEarlyRuns && !target.hasEarlyRuns) this.deps.onConfirmed();
    return ok(result);
  }

  private recordReport(clockMs: number, sentAtMs: number, lastSeenEnd: number): void {
    const { target } = this;
    const nowMs = this.deps.clock.monotonicMs();
    target.lease.recordClock(clockMs, sentAtMs, nowMs);
    const wasClosed = !target.isConfirmed || target.consecutiveFailures > 0;
    target.isConfirmed = true;
    target.reportedMs = nowMs;
    if (lastSeenEnd <= target.processedEnd && lastSeenEnd > target.acknowledgedEnd) {
      target.acknowledgedEnd = lastSeenEnd;
    }
    target.consecutiveFailures = 0;
    if (wasClosed) this.deps.onConfirmed();
  }

  /** Resolves a start with an unknown outcome: a report shows at once whether it was executed. */
  private async resolveUncertainStart(live: LiveRun): Promise<void> {
    await this.requestReport(0, NO_END_SEEN);
    if (this.isActive && this.isCurrent(live) && live.phase === 'uncertain') {
      this.deps.runTracker.stop(live);
    }
  }

  /**
   * Waits up to `COMMIT_WAIT_MS` for the ends of a report to become durable. The next request then
   * acknowledges them.
   */
  private awaitDurableEnds({ commit, lastEnd }: ReportResult): Promise<void> {
    const { target } = this;
    const { bornMs } = target;
    if (lastEnd <= target.durableEnd) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = this.deps.clock.after(COMMIT_WAIT_MS, resolve);
      void commit.then((outcome) => {
        timer.dispose();
        const isNewer = target.bornMs === bornMs && lastEnd > target.durableEnd;
        if (outcome === 'durable' && isNewer) target.durableEnd = lastEnd;
        resolve();
      });
    });
  }

  private leaseUntilMs(nowMs: number): number | undefined {
    const { target } = this;
    if (!target.lease.isKnown || target.runs.size === 0) return undefined;
    // A target that does not answer may still receive requests. Extending its lease would defer
    // indefinitely the moment from which its runs may restart elsewhere.
    if (target.consecutiveFailures > 0) return undefined;
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
    const { runTracker, clock } = this.deps;
    if (!this.isCurrent(live)) return;
    const nowMs = clock.monotonicMs();
    if (failure.kind === 'unknown-outcome') {
      Object.assign(live, { phase: 'uncertain' });
      void this.resolveUncertainStart(live);
      return;
    }
    if (failure.kind === 'no-room') this.target.closedUntilMs = nowMs + NO_ROOM_PAUSE_MS;
    if (failure.kind === 'unhealthy') this.target.closedUntilMs = nowMs + UNHEALTHY_PAUSE_MS;
    if (failure.kind === 'unreachable') this.target.consecutiveFailures += 1;
    // The estimate of the target's clock is too low, as it is after a pause of this process in which
    // monotonic time stood still. Only a report corrects it, and an idle target is not asked for one.
    if (failure.kind === 'late') this.target.isConfirmed = false;
    if (this.handleCommonFailure(failure)) return;
    void runTracker.finish(live, 'lost', '');
  }

  private async onReportFailed(failure: OrderFailure): Promise<void> {
    const { target } = this;
    const { clock } = this.deps;
    if (failure.isRelayLost === true) return;
    target.consecutiveFailures += 1;
    if (target.consecutiveFailures === 1) {
      this.deps.logger.warn('target-silent', {
        targetId: target.targetId,
        reason: failure.kind,
        runs: target.runs.size,
      });
    }
    this.handleCommonFailure(failure);
    // A single report may get lost in transit, so the first retry is immediate.
    if (target.consecutiveFailures > 1) await clock.sleep(SILENT_RETRY_MS);
  }

  /** Handles failures that end the ownership or the target's lifetime; false for any other. */
  private handleCommonFailure(failure: OrderFailure): boolean {
    if (failure.kind === 'fenced') {
      this.deps.ownership.end('fenced');
      return true;
    }
    if (failure.kind !== 'other-lifetime') return false;
    // Another lifetime answers at the address, so the one that had the runs has ended.
    void this.deps.crashes.endRuns(this.target, [...this.target.runs.values()], 'other-lifetime');
    this.target.consecutiveFailures += 1;
    return true;
  }

  /** Accepted starts are logged at debug level only, as the placement of a step is logged once. */
  private log(order: string, live: LiveRun, outcome: string): void {
    const { logger } = this.deps;
    const isRoutine = order === 'start' && outcome === 'accepted';
    // Fields of the log line.
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
