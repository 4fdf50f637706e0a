/**
 * State of one target: its registration, lease, runs, resource usage and failed calls.
 *
 * An end is a target's record of a run that has ended. A target numbers its ends anew in each of
 * its lifetimes, lists them in its reports and keeps them until they are acknowledged. A report is
 * the answer to the call `hold`, which also extends the lease and acknowledges ends.
 */
import { LeaseClock, SLOWEST_CLOCK_RATE, type TargetAddress } from '@acaciadock/execution';
import { type StepSpec } from '@acaciadock/jobs';
import { type CommitOutcome } from '@acaciadock/journal';
import { type PlacementTarget, type Resources } from '@acaciadock/placement';
import { type Capacity, type RegistryEntry } from './contracts/index.js';
import { type LiveRun } from './LiveRun.js';
import { type ZoneEvacuation } from './ZoneEvacuation.js';

const NO_CAPACITY: Capacity = { cpuMilli: 0, memoryMb: 0, gpuCount: 0 };

export class FleetTarget implements PlacementTarget {
  /** The target's registration; undefined until the registry has listed it. */
  entry: RegistryEntry | undefined;

  /** Runs by task id. */
  readonly runs = new Map<string, LiveRun>();

  lease: LeaseClock;

  bornMs = 0;

  /** Whether the target has seen this owner's fencing token and has listed its runs. */
  isConfirmed = false;

  /** Sequence number up to which the target's ends have been applied in memory. */
  processedEnd = 0;

  /** Sequence number up to which ends are durable in the journal. */
  durableEnd = 0;

  /** Settles when every end that has been applied so far is durable. */
  endsCommit: Promise<CommitOutcome> = Promise.resolve('durable');

  /** Sequence number up to which ends have been acknowledged to the target. */
  acknowledgedEnd = 0;

  /** Monotonic time of the target's last report. */
  reportedMs = -Infinity;

  /** Failed calls since the target's last report. */
  consecutiveFailures = 0;

  /** Whether the newest registry list contains the target. */
  isListed = false;

  /** No task is placed here before this monotonic time: a short pause after a rejected start. */
  closedUntilMs = 0;

  /**
   * Set while the coordinator keeps new tasks off the target, so that its instance becomes empty
   * for a move or for upkeep. Unlike `isDraining`, the target takes no part in this.
   */
  isReserved = false;

  /** Set while only suspects of a crash may start here. See `SuspectIsolation`. */
  isIsolated = false;

  /** Share of the capacity that new tasks may use, below 1 if the target is slow. */
  weight = 1;

  usedCpuMilli = 0;

  usedMemoryMb = 0;

  usedGpuCount = 0;

  longRunningCount = 0;

  servingCount = 0;

  fillerCount = 0;

  /** Monotonic time at which the last run ended. */
  idleSinceMs = 0;

  private readonly stepCounts = new Map<string, number>();

  constructor(
    readonly targetId: string,
    private readonly maxLeaseMs: number,
    inheritedUntilMs: number,
    private readonly evacuation: ZoneEvacuation,
  ) {
    this.lease = new LeaseClock(maxLeaseMs, inheritedUntilMs);
  }

  get address(): TargetAddress {
    return { targetId: this.targetId, address: this.entry?.address ?? '' };
  }

  get poolId(): string {
    return this.entry?.poolId ?? '';
  }

  get zoneId(): string {
    return this.entry?.zoneId ?? '';
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

  /**
   * CPU that is kept free because the target is slow. A target without tasks that will end always takes
   * one: it may be the only one of its pool, whose size does not allow for what is withheld.
   */
  get withheldCpuMilli(): number {
    return this.runs.size === this.longRunningCount
      ? 0
      : this.capacity.cpuMilli * (1 - this.weight);
  }

  get freeMemoryMb(): number {
    return this.capacity.memoryMb - this.usedMemoryMb;
  }

  get freeGpuCount(): number {
    return this.capacity.gpuCount - this.usedGpuCount;
  }

  /** What the runs on the target use; the runs of filler tasks use no CPU. */
  get used(): Resources {
    return {
      cpuMilli: this.usedCpuMilli,
      memoryMb: this.usedMemoryMb,
      gpuCount: this.usedGpuCount,
    };
  }

  /** Whether the target itself has announced its shutdown. */
  get isDraining(): boolean {
    return this.entry?.state === 'draining';
  }

  /** Whether the operator has requested to evacuate the target's zone. */
  get isEvacuated(): boolean {
    return this.entry !== undefined && this.evacuation.isEvacuated(this.zoneId);
  }

  /** Whether tasks may start in the target's zone. */
  get mayStartInZone(): boolean {
    return this.evacuation.mayStartIn(this.zoneId);
  }

  /** Whether new tasks may be placed on the target. */
  isOpen(nowMs: number): boolean {
    if (!this.isListed || this.isDraining || this.isReserved) return false;
    if (this.hasUnknownLifetime || this.isListingOutdated || !this.mayStartInZone) return false;
    return this.isConfirmed && this.consecutiveFailures === 0 && nowMs >= this.closedUntilMs;
  }

  /** Whether the target may yet crash because it started one of its runs. */
  get hasEarlyRuns(): boolean {
    return [...this.runs.values()].some((live) => live.isEarly);
  }

  countOfStep(stepId: string): number {
    return this.stepCounts.get(stepId) ?? 0;
  }

  addRun(run: LiveRun): void {
    this.runs.set(run.taskId, run);
    this.updateUsage(run, 1);
  }

  removeRun(run: LiveRun, nowMs: number): void {
    if (this.runs.get(run.taskId) !== run) return;
    this.runs.delete(run.taskId);
    this.updateUsage(run, -1);
    this.idleSinceMs = nowMs;
  }

  /**
   * Resets the state that belongs to one lifetime, as a new lifetime keeps neither the ends nor the
   * clock of the previous one. An order that was meant for the previous lifetime may have given the
   * new one a lease of any length up to the maximum.
   */
  beginLifetime(bornMs: number, nowMs: number): void {
    this.bornMs = bornMs;
    this.processedEnd = 0;
    this.durableEnd = 0;
    this.acknowledgedEnd = 0;
    this.endsCommit = Promise.resolve('durable');
    this.lease = new LeaseClock(this.maxLeaseMs, nowMs + this.maxLeaseMs / SLOWEST_CLOCK_RATE);
  }

  /** Whether the registry lists a later lifetime than the one that last reported. */
  get hasUnknownLifetime(): boolean {
    const listedMs = this.entry?.bornMs ?? 0;
    return listedMs !== 0 && this.bornMs !== 0 && listedMs > this.bornMs;
  }

  /** Whether the registry still lists an earlier lifetime, whose capacity may differ. */
  get isListingOutdated(): boolean {
    const listedMs = this.entry?.bornMs ?? 0;
    return listedMs !== 0 && this.bornMs > listedMs;
  }

  /**
   * Whether the runs exceed the capacity, which may have shrunk since they were placed, in a resource
   * that the step uses.
   */
  isOverfilledFor(step: StepSpec): boolean {
    if (!step.filler && step.cpuMilli > 0 && this.freeCpuMilli < 0) return true;
    if (step.memoryMb > 0 && this.freeMemoryMb < 0) return true;
    return step.gpuCount > 0 && this.freeGpuCount < 0;
  }

  private updateUsage(run: LiveRun, sign: 1 | -1): void {
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
