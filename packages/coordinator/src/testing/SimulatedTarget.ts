/**
 * Simulates a target that runs tasks in virtual time. It checks fencing tokens, expires leases on
 * its own clock, numbers its ends, refuses run numbers that have ended, and keeps no state across
 * a restart.
 */
import { type IDisposable, type ManualClock, type Random } from '@acaciadock/core';
import {
  type EndedRun,
  type HoldReport,
  type HoldRequest,
  type ListedEnd,
  type OrderFailure,
  type OrderReceipt,
  type RunRef,
  type StartOrder,
  type StopOrder,
} from '@acaciadock/execution';
import { err, ok, type Result } from 'neverthrow';
import { type RegistryEntry } from '../contracts/index.js';
import { type RunObserver } from './RunObserver.js';

export interface SimulatedTargetOptions {
  readonly maxLeaseMs: number;
  readonly cpuMilli: number;
  readonly runtimeMs: number;
  readonly failShare: number;
  /**
   * CPU of every task. If given, the target records each start that exceeds its capacity, as one that
   * does not reject it would.
   */
  readonly taskCpuMilli?: number;
  /** `z` if omitted. */
  readonly zoneId?: string;
  readonly rackId?: string;
}

interface Running extends RunRef {
  readonly timer: IDisposable;
  readonly percent: number;
}

const STOP_MS = 20;

/** Prefix of the specifications of tasks that run until they are stopped. */
export const LONG_RUNNING_PREFIX = 'serves';

/**
 * Prefix of the specifications of jobs with a task that crashes each target that starts it; the rest
 * is the index of the task in its step.
 */
export const DEADLY_PREFIX = 'deadly:';

/** Time from the start of such a task to the crash, and from the crash to the new lifetime. */
const CRASH_DELAY_MS = 10;
const CRASH_DOWN_MS = 3_000;

/** A capacity that has shrunk counts only after this time: a contact time and a heartbeat. */
const FORMER_CAPACITY_MS = 4_500;

const NEVER_MS = 1e9;

function refusal(kind: OrderFailure['kind']): Result<never, OrderFailure> {
  return err({ kind, detail: kind });
}

export class SimulatedTarget {
  isUp = true;

  isListed = true;

  isDraining = false;

  /** Runs that start from now on make no progress and never end. */
  isStalling = false;

  /** Checkpoint that the target reports for each run. */
  checkpoint = '';

  /**
   * Length of the checkpoints that runs produce, in characters; 0 if they produce none. Each names its task, and
   * a start with one of another task, or with a part of one, is recorded as a violation.
   */
  checkpointCharacters = 0;

  /** Character that fills the checkpoints up to their length. */
  checkpointFiller = '.';

  /** First label of the target, which a new lifetime may change. */
  kind = 'a';

  /** Rate of the target's clock relative to real time. */
  clockRate = 1;

  /** Factor on the runtimes of runs that start from now on. */
  slowdown = 1;

  private cpuMilli: number;

  /** The capacity before the last change, which counts for a while, and the time of that change. */
  private formerCapacity = { cpuMilli: 0, untilMs: 0 };

  /** Brings the target back after a task has crashed it: as a new lifetime under its id, by default. */
  recover: () => void = () => {
    if (!this.isUp) this.restart();
  };

  private bornMs: number;

  private highestToken = 0;

  private untilMs = 0;

  private leaseTimer: IDisposable | undefined;

  private readonly running = new Map<string, Running>();

  /** Highest run number of each task that has ended or was stopped; starts up to it are refused. */
  private readonly endedRuns = new Map<string, number>();

  private ends: EndedRun[] = [];

  /**
   * Sequence numbers of ends that were unacknowledged when the lease expired. A later
   * acknowledgement of these is not passed on to the observer: the owner may have restarted their
   * tasks elsewhere after the expiry, and a start after an acknowledged end is a violation.
   */
  private readonly expiredEnds = new Set<number>();

  private sequence = 0;

  constructor(
    readonly targetId: string,
    private readonly poolId: string,
    private readonly options: SimulatedTargetOptions,
    private readonly clock: ManualClock,
    private readonly random: Random,
    private readonly observer: RunObserver,
  ) {
    this.bornMs = clock.unixMs();
    this.cpuMilli = options.cpuMilli;
  }

  /** Changes the CPU capacity while the target runs. */
  setCapacity(cpuMilli: number): void {
    const untilMs = this.clock.monotonicMs() + FORMER_CAPACITY_MS;
    this.formerCapacity = { cpuMilli: this.cpuMilli, untilMs };
    this.cpuMilli = cpuMilli;
  }

  get entry(): RegistryEntry {
    return {
      targetId: this.targetId,
      poolId: this.poolId,
      address: `${this.targetId}:1`,
      zoneId: this.options.zoneId ?? 'z',
      rackId: this.options.rackId ?? 'r',
      labels: [this.kind, 'r'],
      capacity: { cpuMilli: this.cpuMilli, memoryMb: 64_000, gpuCount: 0 },
      state: this.isDraining ? 'draining' : 'ready',
      remainingMs: undefined,
      bornMs: this.bornMs,
    };
  }

  get runningCount(): number {
    return this.running.size;
  }

  /** Each run as `task#run@target`. */
  get runningNames(): string[] {
    return [...this.running.values()].map(({ taskId, run }) => `${taskId}#${run}@${this.targetId}`);
  }

  crash(): void {
    this.isUp = false;
    this.leaseTimer?.dispose();
    this.running.forEach((run) => {
      run.timer.dispose();
      this.observer.ended(run.taskId, this.targetId, false);
    });
    this.running.clear();
  }

  /** Restarts the target as a new lifetime under the same id. */
  restart(): void {
    if (this.isUp) this.crash();
    this.isUp = true;
    this.bornMs = this.clock.unixMs();
    this.highestToken = 0;
    this.untilMs = 0;
    this.ends = [];
    this.sequence = 0;
    this.endedRuns.clear();
    this.expiredEnds.clear();
  }

  hold(request: HoldRequest): Result<HoldReport, OrderFailure> {
    if (request.fencingToken < this.highestToken) return refusal('fenced');
    this.highestToken = request.fencingToken;
    this.acknowledge(request.lastSeenEnd);
    if (request.leaseUntilMs !== undefined) this.extend(request.leaseUntilMs);
    return ok({
      clockMs: this.clockMs,
      bornMs: this.bornMs,
      running: [...this.running.values()].map(({ taskId, run, percent }) => ({
        taskId,
        run,
        checkpoint: this.checkpointOf(taskId, run),
        percent,
        loadFigure: 0,
      })),
      ended: [...this.ends],
    });
  }

  start(order: StartOrder): Result<OrderReceipt, OrderFailure> {
    const { taskId, run } = order;
    if (order.fencingToken < this.highestToken) return refusal('fenced');
    this.highestToken = order.fencingToken;
    if (order.leaseUntilMs <= this.clockMs) return refusal('late');
    const present = this.running.get(taskId);
    if (present?.run === run) return ok({ clockMs: this.clockMs });
    this.extend(order.leaseUntilMs);
    if (run <= (this.endedRuns.get(taskId) ?? 0) || present) return refusal('stale-run');
    this.observer.started(taskId, run, this.targetId, order.spec);
    this.checkResumed(order);
    const spreadMs = this.options.runtimeMs * this.slowdown * (0.5 + this.random.next());
    const isFailing = this.random.chance(this.options.failShare);
    const isEndless = this.isStalling || order.spec.startsWith(LONG_RUNNING_PREFIX);
    const timer = isEndless
      ? this.clock.after(NEVER_MS, () => undefined)
      : this.clock.after(spreadMs, () => this.end(taskId, isFailing ? 'failed' : 'done'));
    this.running.set(taskId, { taskId, run, timer, percent: this.isStalling ? 0 : 100 });
    this.checkCapacity(taskId);
    if (SimulatedTarget.isDeadly(order)) this.crashSoon(taskId);
    return ok({ clockMs: this.clockMs });
  }

  stop({ taskId, run, fencingToken }: StopOrder): Result<OrderReceipt, OrderFailure> {
    if (fencingToken < this.highestToken) return refusal('fenced');
    this.highestToken = fencingToken;
    this.recordEndedRun(taskId, run);
    if (this.running.get(taskId)?.run === run) {
      this.clock.after(STOP_MS, () => {
        if (this.running.get(taskId)?.run === run) this.end(taskId, 'stopped');
      });
    }
    return ok({ clockMs: this.clockMs });
  }

  private checkCapacity(taskId: string): void {
    const { taskCpuMilli } = this.options;
    if (taskCpuMilli === undefined) return;
    const { cpuMilli, untilMs } = this.formerCapacity;
    const formerCpuMilli = this.clock.monotonicMs() < untilMs ? cpuMilli : 0;
    const limitCpuMilli = Math.max(this.cpuMilli, formerCpuMilli);
    if (this.running.size * taskCpuMilli <= limitCpuMilli) return;
    this.observer.broken.push(`${taskId} brings ${this.targetId} over ${limitCpuMilli}`);
  }

  private checkpointOf(taskId: string, run: number): string {
    if (this.checkpointCharacters === 0) return this.checkpoint;
    return `${taskId}#${run}:`.padEnd(this.checkpointCharacters, this.checkpointFiller);
  }

  private checkResumed({ taskId, run, checkpoint }: StartOrder): void {
    if (this.checkpointCharacters === 0) return;
    if (checkpoint !== '') this.observer.resumed.set(taskId, checkpoint);
    const [producer = '', producedRun] = checkpoint.split(/[#:]/);
    const isWhole = checkpoint === this.checkpointOf(producer, Number(producedRun));
    if (checkpoint === '' || (isWhole && this.observer.sharesCheckpoints(producer, taskId))) return;
    this.observer.broken.push(`${taskId}#${run} starts with a checkpoint that isn't its own`);
  }

  private static isDeadly({ taskId, spec }: StartOrder): boolean {
    const [, index] = spec.split(DEADLY_PREFIX);
    return index !== undefined && taskId.endsWith(`.${index}`);
  }

  /** Crashes because of the task, unless it has been stopped by then, and comes back later. */
  private crashSoon(taskId: string): void {
    const { bornMs } = this;
    this.clock.after(CRASH_DELAY_MS, () => {
      if (!this.isUp || this.bornMs !== bornMs || !this.running.has(taskId)) return;
      this.observer.crashed(taskId, [...this.running.keys()]);
      this.crash();
      this.clock.after(CRASH_DOWN_MS, () => this.recover());
    });
  }

  /** Whether there are ends after `lastSeenEnd`. */
  hasUnseenEnds(lastSeenEnd: number): boolean {
    return this.ends.some((end) => end.sequence > lastSeenEnd);
  }

  private get clockMs(): number {
    return (this.clock.unixMs() - this.bornMs) * this.clockRate + 1_000;
  }

  private recordEndedRun(taskId: string, run: number): void {
    this.endedRuns.set(taskId, Math.max(run, this.endedRuns.get(taskId) ?? 0));
  }

  private acknowledge(lastSeenEnd: number): void {
    this.ends
      .filter((end) => end.sequence <= lastSeenEnd && !this.expiredEnds.has(end.sequence))
      .forEach((end) => this.observer.acknowledged(end.taskId, end.end));
    this.ends = this.ends.filter((end) => end.sequence > lastSeenEnd);
  }

  private extend(untilMs: number): void {
    const maxMs = this.clockMs + this.options.maxLeaseMs;
    this.untilMs = Math.max(this.untilMs, Math.min(untilMs, maxMs));
    this.leaseTimer?.dispose();
    const remainingMs = (this.untilMs - this.clockMs) / this.clockRate;
    this.leaseTimer = this.clock.after(remainingMs, () => this.expireLease());
  }

  private expireLease(): void {
    this.ends.forEach((end) => this.expiredEnds.add(end.sequence));
    [...this.running.keys()].forEach((taskId) => this.end(taskId, 'lapsed'));
  }

  private end(taskId: string, end: ListedEnd): void {
    const run = this.running.get(taskId);
    if (!run) return;
    run.timer.dispose();
    this.running.delete(taskId);
    this.recordEndedRun(taskId, run.run);
    this.sequence += 1;
    const checkpoint = this.checkpointCharacters > 0 ? this.checkpointOf(taskId, run.run) : '';
    this.ends.push({ sequence: this.sequence, taskId, run: run.run, end, checkpoint });
    this.observer.ended(taskId, this.targetId, end === 'done');
  }
}
