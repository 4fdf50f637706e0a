/**
 * Measures the demand of the work that arrives at a pool, as an exponentially decaying rate. The
 * resource-milliseconds of work that arrive per millisecond equal the amount of each resource that
 * the pool needs to keep up.
 */
import { ResourceVector } from './ResourceVector.js';

/** Time constant of the exponential decay, in milliseconds. */
const TIME_CONSTANT_MS = 1_500;

export class ArrivalMeter {
  private sum = ResourceVector.ZERO;

  private updatedMs = 0;

  /** Records arriving work, as the sum of its tasks' sizes times their runtimes in milliseconds. */
  note(work: ResourceVector, nowMs: number): void {
    this.decay(nowMs);
    this.sum = this.sum.plus(work);
  }

  /** Resources needed to keep up with the current arrival rate. */
  rate(nowMs: number): ResourceVector {
    this.decay(nowMs);
    return this.sum.times(1 / TIME_CONSTANT_MS);
  }

  private decay(nowMs: number): void {
    this.sum = this.sum.times(Math.exp(-(nowMs - this.updatedMs) / TIME_CONSTANT_MS));
    this.updatedMs = nowMs;
  }
}
