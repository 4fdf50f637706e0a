/**
 * Ejects a target that fails while its pool does not: after consecutive failures, or at a high
 * failure rate, and only if the rest of the pool fails much less. So a service whose every request
 * fails ejects nobody. An ejected target comes back by a trial run after an exponential backoff.
 *
 * A request that fails on one target after another is the likely cause itself: its later failures
 * do not count, and the first ones are forgiven.
 */
import { type Random, type TargetId } from '@acaciadock/core';
import { type HealthChange, HealthPolicy, type HealthSample } from './HealthPolicy.js';

const CONSECUTIVE_FAILURES = 4;
const RELAPSE_FAILURES = 2;
const RATE_GAIN = 1 / 8;
const HIGH_RATE = 0.5;
const RATE_SAMPLES = 16;
/** The rest of the pool must fail less than this part of the target's rate. */
const REST_RATE_PART = 0.5;
const FIRST_BACKOFF_MS = 5_000;
const MOST_BACKOFF_MS = 300_000;
const JITTER_PART = 0.2;
/** A target that stayed in for this many of its last backoffs starts afresh. */
const PROBATION_BACKOFFS = 2;

interface TargetState {
  consecutive: number;
  rate: number;
  samples: number;
  ejections: number;
  backoffMs: number;
  restoredAtMs: number;
  /** When the next trial is due; undefined while the target is in. */
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
    const wanted = new Set(targetIds);
    this.targets.forEach((state, targetId) => {
      if (wanted.has(targetId)) return;
      this.rateSum -= state.rate;
      this.targets.delete(targetId);
      this.ejected.delete(targetId);
    });
    wanted.forEach((targetId) => {
      if (!this.targets.has(targetId)) this.targets.set(targetId, OutlierEjection.newState());
    });
  }

  override record(sample: HealthSample, nowMs: number): HealthChange | undefined {
    const state = this.targets.get(sample.targetId);
    if (!state) return undefined;
    if (sample.succeeded) return this.succeed(sample.targetId, state, nowMs);
    if (sample.failedBefore.length > 0 && !state.onTrial) {
      sample.failedBefore.forEach((targetId) => this.forgive(targetId));
      return undefined;
    }
    return this.fail(sample.targetId, state, nowMs);
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

  private static newState(): TargetState {
    return {
      consecutive: 0,
      rate: 0,
      samples: 0,
      ejections: 0,
      backoffMs: FIRST_BACKOFF_MS,
      restoredAtMs: Number.NEGATIVE_INFINITY,
      trialAtMs: undefined,
      onTrial: false,
    };
  }

  private succeed(targetId: TargetId, state: TargetState, nowMs: number): HealthChange | undefined {
    this.setRate(state, state.rate * (1 - RATE_GAIN));
    Object.assign(state, { consecutive: 0, samples: state.samples + 1 });
    if (!this.ejected.has(targetId)) return undefined;
    // A run granted before the ejection says nothing on how the target is now.
    if (!state.onTrial) return undefined;
    this.ejected.delete(targetId);
    this.setRate(state, 0);
    Object.assign(state, { restoredAtMs: nowMs, trialAtMs: undefined, onTrial: false, samples: 0 });
    return 'restored';
  }

  private fail(targetId: TargetId, state: TargetState, nowMs: number): HealthChange | undefined {
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

  private forgive(targetId: TargetId): void {
    const state = this.targets.get(targetId);
    if (!state) return;
    state.consecutive = Math.max(0, state.consecutive - 1);
    this.setRate(state, Math.max(0, (state.rate - RATE_GAIN) / (1 - RATE_GAIN)));
  }

  private isOutlier(state: TargetState, nowMs: number): boolean {
    const relapsed = nowMs - state.restoredAtMs < state.backoffMs * PROBATION_BACKOFFS;
    const most = relapsed ? RELAPSE_FAILURES : CONSECUTIVE_FAILURES;
    const rateIsHigh = state.samples >= RATE_SAMPLES && state.rate >= HIGH_RATE;
    if (state.consecutive < most && !rateIsHigh) return false;
    return this.restRate(state) < state.rate * REST_RATE_PART;
  }

  /** Mean failure rate of the other targets that are in. */
  private restRate(state: TargetState): number {
    let outRate = 0;
    this.ejected.forEach((targetId) => {
      outRate += this.targets.get(targetId)?.rate ?? 0;
    });
    const others = this.targets.size - this.ejected.size - 1;
    return others <= 0 ? 0 : Math.max(0, this.rateSum - outRate - state.rate) / others;
  }

  private eject(targetId: TargetId, state: TargetState, nowMs: number): void {
    const wasIn = !this.ejected.has(targetId);
    const stayedIn = nowMs - state.restoredAtMs >= state.backoffMs * PROBATION_BACKOFFS;
    const ejections = wasIn && stayedIn ? 1 : state.ejections + 1;
    const backoffMs = Math.min(MOST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (ejections - 1));
    const jitterMs = (this.random.next() * 2 - 1) * JITTER_PART * backoffMs;
    this.ejected.add(targetId);
    const trialAtMs = nowMs + backoffMs + jitterMs;
    Object.assign(state, { ejections, backoffMs, trialAtMs, onTrial: false, consecutive: 0 });
  }

  private setRate(state: TargetState, rate: number): void {
    this.rateSum += rate - state.rate;
    Object.assign(state, { rate });
  }
}
