/**
 * Measures the demand of the work that arrives at a pool, as an exponentially decaying rate. The
 * resource-milliseconds of work that arrive per millisecond equal the amount of each resource that
 * the pool needs to keep up. It answers the load of queues whose demand rises to many times its level
 * within a second: a fast rate follows the rise, less its own statistical error, so that single large
 * jobs don't count as a rise, and a slow rate holds the level.
 */
import { DecayingWork } from './DecayingWork.js';
import { type ResourceVector } from './ResourceVector.js';

/** Time constant of the slow rate, in milliseconds. */
const SLOW_TIME_MS = 1_500;

/** Time constant of the fast rate, in milliseconds: well under the time of a move of an instance. */
const FAST_TIME_MS = 400;

/** Time constant of the rate that tells which pool is busy, in milliseconds: a fraction of a turn. */
const RECENT_TIME_MS = 700;

export class ArrivalMeter {
  private readonly slow = new DecayingWork(SLOW_TIME_MS);

  private readonly fast = new DecayingWork(FAST_TIME_MS);

  private readonly recent = new DecayingWork(RECENT_TIME_MS);

  /** Records arriving work, as the sum of its tasks' sizes times their runtimes in milliseconds. */
  note(work: ResourceVector, nowMs: number): void {
    this.slow.add(work, nowMs);
    this.fast.add(work, nowMs);
    this.recent.add(work, nowMs);
  }

  /** The rate of the last moments, in which a pool whose turn has ended soon counts little. */
  recentRate(nowMs: number): ResourceVector {
    return this.recent.rate(nowMs);
  }

  /** Resources needed to keep up with the current arrival rate. */
  rate(nowMs: number): ResourceVector {
    return this.slow.rate(nowMs).max(this.fast.certainRate(nowMs));
  }
}
