/** One target: what it reports, what runs there, and how it has behaved. */
import { LeaseClock, SLOWEST_CLOCK_RATE, type TargetAddress } from '@acaciadock/execution';
import { type CommitOutcome } from '@acaciadock/journal';
import { type PlacementTarget } from '@acaciadock/placement';
import { type Capacity, type RegistryEntry } from './contracts/index.js';
import { type LiveRun } from './LiveRun.js';

const NO_CAPACITY: Capacity = { cpuMilli: 0, memoryMb: 0, gpuCount: 0 };

export class FleetTarget implements PlacementTarget {
  entry: RegistryEntry | undefined;

  /** Runs by task id. */
  readonly runs = new Map<string, LiveRun>();

  lease: LeaseClock;

  bornMs = 0;

  /** The target has seen this owner's fencing token and listed what it runs. */
  isConfirmed = false;

  /** Ends up to here have been taken up in memory. */
  processedEnd = 0;

  /** Ends up to here are durable. */
  durableEnd = 0;

  /** Settles when every end that was taken up so far is durable. */
  endsCommit: Promise<CommitOutcome> = Promise.resolve('durable');

  /** Ends up to here the target has been told that it may forget. */
  acknowledgedEnd = 0;

  /** When the target last answered with its lists, monotonic. */
  reportedMs = -Infinity;

  failedHolds = 0;

  /** Whether the newest list shows it. */
  isListed = false;

  /** Nothing is placed here before this monotonic time. */
  closedUntilMs = 0;

  /** Set while a move or an upkeep empties the instance. */
  isReserved = false;

  usedCpuMilli = 0;

  usedMemoryMb = 0;

  usedGpuCount = 0;

  longRunningCount = 0;

  servingCount = 0;

  fillerCount = 0;

  /** When the last run ended, monotonic. */
  idleSinceMs = 0;

  private readonly stepCounts = new Map<string, number>();

  constructor(
    readonly targetId: string,
    private readonly mostLeaseMs: number,
    inheritedUntilMs: number,
  ) {
    this.lease = new LeaseClock(mostLeaseMs, inheritedUntilMs);
  }

  get address(): TargetAddress {
    return { targetId: this.targetId, address: this.entry?.address ?? '' };
  }

  get poolId(): string {
    return this.entry?.poolId ?? '';
  }

  get rackId(): string {
    return this.entry?.rackId ?? '';
  }

  get labels(): readonly string[] {
    return this.entry?.labels ?? [];
  }

  get capacity(): Capacity {
    return this.entry?.capacity ?? NO_CAPACITY;
  }

  get freeCpuMilli(): number {
    return this.capacity.cpuMilli - this.usedCpuMilli;
  }

  get freeMemoryMb(): number {
    return this.capacity.memoryMb - this.usedMemoryMb;
  }

  get freeGpuCount(): number {
    return this.capacity.gpuCount - this.usedGpuCount;
  }

  get isDraining(): boolean {
    return this.entry?.state === 'draining';
  }

  /** Whether new work may go there. */
  isOpen(nowMs: number): boolean {
    if (!this.isListed || this.isDraining || this.isReserved) return false;
    if (this.hasUnknownLifetime) return false;
    return this.isConfirmed && this.failedHolds === 0 && nowMs >= this.closedUntilMs;
  }

  countOfStep(stepId: string): number {
    return this.stepCounts.get(stepId) ?? 0;
  }

  addRun(run: LiveRun): void {
    this.runs.set(run.taskId, run);
    this.account(run, 1);
  }

  removeRun(run: LiveRun, nowMs: number): void {
    if (this.runs.get(run.taskId) !== run) return;
    this.runs.delete(run.taskId);
    this.account(run, -1);
    this.idleSinceMs = nowMs;
  }

  /**
   * A new lifetime holds nothing of the earlier one: neither ends nor clock. An order meant for
   * the earlier one may have given it a lease of any length up to the largest.
   */
  beginLifetime(bornMs: number, nowMs: number): void {
    this.bornMs = bornMs;
    this.processedEnd = 0;
    this.durableEnd = 0;
    this.acknowledgedEnd = 0;
    this.endsCommit = Promise.resolve('durable');
    this.lease = new LeaseClock(this.mostLeaseMs, nowMs + this.mostLeaseMs / SLOWEST_CLOCK_RATE);
  }

  /** The list shows another lifetime than the one we know. */
  get hasUnknownLifetime(): boolean {
    const listedMs = this.entry?.bornMs ?? 0;
    return listedMs !== 0 && this.bornMs !== 0 && listedMs > this.bornMs;
  }

  private account(run: LiveRun, sign: 1 | -1): void {
    const { spec, stepId } = run.place.step;
    if (!spec.filler) this.usedCpuMilli += sign * spec.cpuMilli;
    this.usedMemoryMb += sign * spec.memoryMb;
    this.usedGpuCount += sign * spec.gpuCount;
    if (spec.longRunning) this.longRunningCount += sign;
    if (spec.tailTargetMs > 0) this.servingCount += sign;
    if (spec.filler) this.fillerCount += sign;
    const count = this.countOfStep(stepId) + sign;
    if (count === 0) this.stepCounts.delete(stepId);
    else this.stepCounts.set(stepId, count);
  }
}
