/**
 * Generates the load of the burst bench: each service in turn receives five times its mean load,
 * and a twentieth of it in between. All teams send requests at the same rate, so that in a burst
 * each one requests more than its portion.
 */
import { Random, type TeamId, type Urgency } from '@acaciadock/core';
import { type PoolSchedulerParts } from '@acaciadock/scheduling';
import { type ModelEnd, PoolModel } from './PoolModel.js';
import { VirtualClock } from './VirtualClock.js';

export const BURST_MS = 4_000;
/** With this length of the cycle, the mean of the load factors over a cycle is 1 (rounded). */
export const CYCLE_MS = 20_800;
const TARGETS = 7;
const SLOTS = 8;
const SERVICES = 5;
const CYCLES = 12;
const BURST_FACTOR = 5;
const QUIET_FACTOR = 0.05;
const DECLARED_RUN_MS = 3_000;
const RUN_MS: Readonly<Record<Urgency, number>> = { urgent: 300, background: 2_000 };
const DEADLINE_MS: Readonly<Record<Urgency, number>> = { urgent: 10_000, background: 120_000 };

export const SHARES: Readonly<Record<TeamId, number>> = { a: 8, b: 5, c: 2, d: 1, e: 1, f: 1 };

export interface BurstOptions {
  /** Fraction of the requests that are urgent. */
  readonly urgentRatio: number;
  /** Mean load divided by the pool's capacity. */
  readonly load: number;
  /** One of this many requests refused for their deadline is queued anyway, as a probe. */
  readonly probeEvery: number;
  readonly seed: number;
  readonly queueOf?: PoolSchedulerParts['queueOf'];
}

export interface BurstRun {
  /** When the first burst began. */
  readonly firstBurstAtMs: number;
  readonly ends: readonly ModelEnd[];
}

function simulateService(service: number, options: BurstOptions): BurstRun {
  const { urgentRatio, load, probeEvery, seed, queueOf } = options;
  const clock = new VirtualClock();
  const random = new Random(seed + service);
  const pool = {
    targets: TARGETS,
    slotsPerTarget: SLOTS,
    shares: SHARES,
    declaredRunMs: DECLARED_RUN_MS,
    probeEvery,
    ...(queueOf ? { queueOf } : {}),
  };
  const model = new PoolModel(clock, pool, seed);
  const meanRunMs = urgentRatio * RUN_MS.urgent + (1 - urgentRatio) * RUN_MS.background;
  const meanGapMs = meanRunMs / (load * TARGETS * SLOTS);
  const firstBurstAtMs = (service * CYCLE_MS) / SERVICES;
  const endMs = CYCLE_MS * CYCLES;
  const arrive = (): void => {
    const urgency = random.chance(urgentRatio) ? 'urgent' : 'background';
    model.arrive({
      teamId: random.pick(Object.keys(SHARES)) ?? '',
      urgency,
      runMs: RUN_MS[urgency] * (0.25 + random.next() * 1.5),
      deadlineMs: DEADLINE_MS[urgency],
    });
  };
  const next = (): void => {
    const nowMs = clock.monotonicMs();
    if (nowMs >= endMs) return;
    const inCycleMs = (nowMs - firstBurstAtMs + CYCLE_MS) % CYCLE_MS;
    const factor = inCycleMs < BURST_MS ? BURST_FACTOR : QUIET_FACTOR;
    // Thinning: candidates arrive at the rate of a burst, and most are dropped between bursts.
    if (random.chance(factor / BURST_FACTOR)) arrive();
    clock.after(random.exponential(meanGapMs / BURST_FACTOR), next);
  };
  next();
  clock.runUntil(endMs + DEADLINE_MS.background);
  return { firstBurstAtMs, ends: model.ends };
}

/** Simulates all services of a deployment, each with its own pool. */
export function simulateBursts(options: BurstOptions): readonly BurstRun[] {
  return Array.from({ length: SERVICES }, (_, service) => simulateService(service, options));
}
