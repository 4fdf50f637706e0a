/**
 * Outlier detection: ejects a target after consecutive failures or at a high failure rate, but only
 * if the other targets of the pool fail much less. A service whose requests all fail therefore
 * ejects no target. An ejected target is restored by a successful trial run after an exponential
 * backoff.
 *
 * A request that fails on one target after another is probably the cause itself: its later failures
 * are not counted, and the earlier ones are reverted.
 */
import { type Random, type TargetId } from '@acaciadock/core';
import { type HealthChange, HealthPolicy, type HealthSample } from './HealthPolicy.js';

const CONSECUTIVE_FAILURES = 4;
const PROBATION_FAILURES = 2;
const RATE_GAIN = 1 / 8;
const MIN_OUTLIER_RATE = 0.5;
const MIN_RATE_SAMPLES = 16;
/** The other targets must have a mean failure rate below this fraction of the target's rate. */
const MAX_OTHERS_RATE_RATIO = 0.5;
const INITIAL_BACKOFF_MS = 5_000;
const MAX_BACKOFF_MS = 300_000;
const JITTER_RATIO = 0.2;
/**
 * A restored target is on probation for this many times its last backoff. During probation,
 * `PROBATION_FAILURES` consecutive failures suffice to eject it, and its next ejection doubles the
 * backoff instead of starting again at `INITIAL_BACKOFF_MS`.
 */
const PROBATION_BACKOFFS = 2;

interface TargetState {
  /** Number of consecutive failures. */
  consecutive: number;
  /** Failure rate, exponentially smoothed with `RATE_GAIN`, in [0, 1]. */
  rate: number;
  /** Number of runs recorded since the target was configured or last restored. */
  samples: number;
  /** Number of ejections in a row, including failed trials, without a survived probation. */
  ejections: number;
  /** Backoff of the last ejection before jitter, in milliseconds. */
  backoffMs: number;
  /** When the last successful trial ended, in monotonic milliseconds. */
  restoredAtMs: number;
  /** When the next trial is due; undefined while the target is not ejected. */
  trialAtMs: number | undefined;
  onTrial: boolean;
}

export class OutlierEjection extends HealthPolicy {
  private readonly targets = new Map<TargetId, TargetState>();

  private readonly ejected = new Set<TargetId>();

  private maxEjected = 0;

  private rateSum = 0;

  constructor(private readonly random: Random) {
    super();
  }

  override configure(targetIds: readonly TargetId[], maxEjected: number): void {
    this.maxEjected = maxEjected;
    const configuredIds = new Set(targetIds);
    this.targets.forEach((state, targetId) => {
      if (configuredIds.has(targetId)) return;
      this.rateSum -= state.rate;
      this.targets.delete(targetId);
      this.ejected.delete(targetId);
    });
    configuredIds.forEach((targetId) => {
      if (!this.targets.has(targetId)) this.targets.set(targetId, OutlierEjection.createState());
    });
  }

  override record(sample: HealthSample, nowMs: number): HealthChange | undefined {
    const state = this.targets.get(sample.targetId);
    if (!state) return undefined;
    if (sample.succeeded) return this.recordSuccess(sample.targetId, state, nowMs);
    if (sample.previousTargetIds.length > 0 && !state.onTrial) {
      sample.previousTargetIds.forEach((targetId) => this.revertFailure(targetId));
      return undefined;
    }
    return this.recordFailure(sample.targetId, state, nowMs);
  }

  override dueForTrial(nowMs: number): readonly TargetId[] {
    const due: TargetId[] = [];
    this.ejected.forEach((targetId) => {
      const state = this.targets.get(targetId);
      if (!state || state.onTrial || (state.trialAtMs ?? 0) > nowMs) return;
      state.onTrial = true;
      due.push(targetId);
    });
    return due;
  }

  override abandonTrial(targetId: TargetId, nowMs: number): void {
    const state = this.targets.get(targetId);
    if (!state?.onTrial) return;
    Object.assign(state, { onTrial: false, trialAtMs: nowMs });
  }

  override isEjected(targetId: TargetId): boolean {
    return this.ejected.has(targetId);
  }

  override get ejectedCount(): number {
    return this.ejected.size;
  }

  private static createState(): TargetState {
    return {
      consecutive: 0,
      rate: 0,
      samples: 0,
      ejections: 0,
      backoffMs: INITIAL_BACKOFF_MS,
      restoredAtMs: Number.NEGATIVE_INFINITY,
      trialAtMs: undefined,
      onTrial: false,
    };
  }

  private recordSuccess(
    targetId: TargetId,
    state: TargetState,
    nowMs: number,
  ): HealthChange | undefined {
    this.setRate(state, state.rate * (1 - RATE_GAIN));
    Object.assign(state, { consecutive: 0, samples: state.samples + 1 });
    if (!this.ejected.has(targetId)) return undefined;
    // A run granted before the ejection says nothing about the current health of the target.
    if (!state.onTrial) return undefined;
    this.ejected.delete(targetId);
    this.setRate(state, 0);
    Object.assign(state, { restoredAtMs: nowMs, trialAtMs: undefined, onTrial: false, samples: 0 });
    return 'restored';
  }

  private recordFailure(
    targetId: TargetId,
    state: TargetState,
    nowMs: number,
  ): HealthChange | undefined {
    this.setRate(state, state.rate * (1 - RATE_GAIN) + RATE_GAIN);
    Object.assign(state, { consecutive: state.consecutive + 1, samples: state.samples + 1 });
    if (this.ejected.has(targetId)) {
      if (state.onTrial) this.eject(targetId, state, nowMs);
      return undefined;
    }
    if (!this.isOutlier(state, nowMs) || this.ejected.size >= this.maxEjected) return undefined;
    this.eject(targetId, state, nowMs);
    return 'ejected';
  }

  private revertFailure(targetId: TargetId): void {
    const state = this.targets.get(targetId);
    if (!state) return;
    state.consecutive = Math.max(0, state.consecutive - 1);
    this.setRate(state, Math.max(0, (state.rate - RATE_GAIN) / (1 - RATE_GAIN)));
  }

  private isOutlier(state: TargetState, nowMs: number): boolean {
    const onProbation = nowMs - state.restoredAtMs < state.backoffMs * PROBATION_BACKOFFS;
    const failureThreshold = onProbation ? PROBATION_FAILURES : CONSECUTIVE_FAILURES;
    const rateIsHigh = state.samples >= MIN_RATE_SAMPLES && state.rate >= MIN_OUTLIER_RATE;
    if (state.consecutive < failureThreshold && !rateIsHigh) return false;
    return this.meanRateOfOthers(state) < state.rate * MAX_OTHERS_RATE_RATIO;
  }

  /** Mean failure rate of the other targets that are not ejected. */
  private meanRateOfOthers(state: TargetState): number {
    let ejectedRateSum = 0;
    this.ejected.forEach((targetId) => {
      ejectedRateSum += this.targets.get(targetId)?.rate ?? 0;
    });
    const others = this.targets.size - this.ejected.size - 1;
    return others <= 0 ? 0 : Math.max(0, this.rateSum - ejectedRateSum - state.rate) / others;
  }

  private eject(targetId: TargetId, state: TargetState, nowMs: number): void {
    const wasInRotation = !this.ejected.has(targetId);
    const outlastedProbation = nowMs - state.restoredAtMs >= state.backoffMs * PROBATION_BACKOFFS;
    const ejections = wasInRotation && outlastedProbation ? 1 : state.ejections + 1;
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (ejections - 1));
    const jitterMs = (this.random.next() * 2 - 1) * JITTER_RATIO * backoffMs;
    this.ejected.add(targetId);
    const trialAtMs = nowMs + backoffMs + jitterMs;
    Object.assign(state, { ejections, backoffMs, trialAtMs, onTrial: false, consecutive: 0 });
  }

  private setRate(state: TargetState, rate: number): void {
    this.rateSum += rate - state.rate;
    Object.assign(state, { rate });
  }
}
