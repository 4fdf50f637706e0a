/**
 * Measures a pool that receives five times its capacity for a minute, in virtual time: the goodput
 * compared with the same pool at its capacity, whether refusals are justified while the load
 * continues, and how much memory the waiting tickets use.
 */
import { Random } from '@acaciadock/core';
import { type PoolSchedulerParts } from '@acaciadock/scheduling';
import { Bench, type BenchOptions, type BenchResult, checkBound } from './Bench.js';
import { heapBytes } from './heapBytes.js';
import { FcfsQueue } from './scheduling/FcfsQueue.js';
import { type ModelEnd, PoolModel } from './scheduling/PoolModel.js';
import { VirtualClock } from './scheduling/VirtualClock.js';

const TARGETS = 7;
const SLOTS = 8;
const RUN_MS = 300;
const DEADLINE_MS = 5_000;
const DURATION_MS = 60_000;
const OVERLOAD_FACTOR = 5;
const PROBE_EVERY = 500;
const MIN_GOODPUT_RATIO = 0.95;
const MIN_CORRECT_REFUSAL_RATIO = 0.95;
const MIN_IMMEDIATE_RATIO = 0.99;
/** Heap that a scheduler with full queues may use, with everything that refers to its tickets. */
const MAX_HEAP_GROWTH_BYTES = 16 * 1024 * 1024;
const SHARES = { a: 8, b: 5, c: 2, d: 1, e: 1, f: 1 };

interface Load {
  /** Requested work divided by the capacity. */
  readonly factor: number;
  readonly seed: number;
  readonly queueOf?: PoolSchedulerParts['queueOf'];
}

/** Result of one run, at any load. */
interface OverloadRun {
  readonly ends: readonly ModelEnd[];
  /** Largest number of tickets that waited at the same time. */
  readonly peakWaiting: number;
}

function run({ factor, seed, queueOf }: Load): OverloadRun {
  const clock = new VirtualClock();
  const random = new Random(seed);
  const model = new PoolModel(
    clock,
    {
      targets: TARGETS,
      slotsPerTarget: SLOTS,
      shares: SHARES,
      declaredRunMs: RUN_MS,
      probeEvery: PROBE_EVERY,
      ...(queueOf ? { queueOf } : {}),
    },
    seed,
  );
  const meanGapMs = RUN_MS / (TARGETS * SLOTS * factor);
  let peakWaiting = 0;
  const next = (): void => {
    if (clock.monotonicMs() >= DURATION_MS) return;
    model.arrive({
      teamId: random.pick(Object.keys(SHARES)) ?? '',
      urgency: 'background',
      runMs: RUN_MS * (0.25 + random.next() * 1.5),
      deadlineMs: DEADLINE_MS,
    });
    peakWaiting = Math.max(peakWaiting, model.scheduler.size);
    clock.after(random.exponential(meanGapMs), next);
  };
  next();
  clock.runUntil(DURATION_MS + DEADLINE_MS);
  return { ends: model.ends, peakWaiting };
}

/** Requests per second that were answered within their deadline. */
function goodputOf({ ends }: OverloadRun): number {
  const inTime = ends.filter(
    ({ succeeded, endedAtMs, arrivedAtMs, request }) =>
      succeeded && endedAtMs - arrivedAtMs <= request.deadlineMs,
  );
  return inTime.length / (DURATION_MS / 1_000);
}

export class OverloadBench extends Bench {
  readonly name = 'overload';

  readonly summary = 'goodput, refusals and memory at five times the capacity';

  async run({ seed }: BenchOptions): Promise<BenchResult> {
    const capacity = run({ factor: 1, seed });
    const overload = run({ factor: OVERLOAD_FACTOR, seed });
    const fcfs = run({ factor: OVERLOAD_FACTOR, seed, queueOf: () => new FcfsQueue() });
    const ratio = goodputOf(overload) / goodputOf(capacity);
    const refused = overload.ends.filter(({ refusal, probe }) => refusal && !probe);
    const late = refused.filter(({ endedAtMs, arrivedAtMs }) => endedAtMs > arrivedAtMs);
    const immediateRatio = 1 - late.length / refused.length;
    const probes = overload.ends.filter(({ probe }) => probe);
    const waits = probes.map(
      ({ startedAtMs, endedAtMs, arrivedAtMs }) => (startedAtMs ?? endedAtMs) - arrivedAtMs,
    );
    const correctRefusalRatio = waits.filter((ms) => ms > DEADLINE_MS / 2).length / waits.length;
    this.note(
      `at capacity ${goodputOf(capacity).toFixed(0)}/s; at ${OVERLOAD_FACTOR} times ` +
        `${goodputOf(overload).toFixed(0)}/s, refused ${refused.length} of ${overload.ends.length} ` +
        `(${late.length} after a wait), most waiting ${overload.peakWaiting}; first come first ` +
        `served ${goodputOf(fcfs).toFixed(0)}/s, most waiting ${fcfs.peakWaiting}`,
    );
    this.note(
      `of ${probes.length} refused that were queued all the same ` +
        `${OverloadBench.missedRatio(probes).toFixed(3)} missed their deadline; ` +
        `they waited ${Math.round(Math.min(...waits))} to ${Math.round(Math.max(...waits))} ms`,
    );
    const growth = this.heapGrowth(seed);
    return {
      bounds: [
        checkBound('goodput over that at capacity', ratio, 'ratio', 'at-least', MIN_GOODPUT_RATIO),
        checkBound(
          `refused that would have waited over ${DEADLINE_MS / 2} ms`,
          correctRefusalRatio,
          'part',
          'at-least',
          MIN_CORRECT_REFUSAL_RATIO,
        ),
        checkBound(
          'refusals that came at once',
          immediateRatio,
          'part',
          'at-least',
          MIN_IMMEDIATE_RATIO,
        ),
        checkBound('heap of a full scheduler', growth, 'bytes', 'at-most', MAX_HEAP_GROWTH_BYTES),
      ],
    };
  }

  /** Fraction of the probes that failed or ended after their deadline; 1 if there are none. */
  private static missedRatio(probes: readonly ModelEnd[]): number {
    if (probes.length === 0) return 1;
    const missed = probes.filter(
      ({ succeeded, endedAtMs, arrivedAtMs, request }) =>
        !succeeded || endedAtMs - arrivedAtMs > request.deadlineMs,
    );
    return missed.length / probes.length;
  }

  /** Heap growth of one scheduler after many arrivals, while its only slot never becomes free. */
  private heapGrowth(seed: number): number {
    const before = heapBytes();
    const clock = new VirtualClock();
    const model = new PoolModel(
      clock,
      {
        targets: 1,
        slotsPerTarget: 1,
        shares: SHARES,
        declaredRunMs: 1,
        maxQueuedPerTeam: 1_000,
        keepEnds: false,
      },
      seed,
    );
    const random = new Random(seed);
    const arrivals = 200_000;
    for (let arrival = 0; arrival < arrivals; arrival += 1) {
      const teamId = random.pick(Object.keys(SHARES)) ?? '';
      model.arrive({ teamId, urgency: 'background', runMs: 1e9, deadlineMs: 1e9 });
    }
    const growth = heapBytes() - before;
    this.note(`${arrivals} arrivals at a stuck pool: ${model.scheduler.size} wait`);
    return growth;
  }
}
