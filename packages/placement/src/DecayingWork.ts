/** Sum of arriving work that decays exponentially, with the number of jobs that it stems from. */
import { ResourceVector } from './ResourceVector.js';

export class DecayingWork {
  private work = ResourceVector.ZERO;

  private jobs = 0;

  private updatedMs = 0;

  constructor(private readonly timeMs: number) {}

  add(work: ResourceVector, nowMs: number): void {
    this.decay(nowMs);
    this.work = this.work.plus(work);
    this.jobs += 1;
  }

  rate(nowMs: number): ResourceVector {
    this.decay(nowMs);
    return this.work.times(1 / this.timeMs);
  }

  /** The rate less one standard error of a sum of this many jobs of uneven size. */
  certainRate(nowMs: number): ResourceVector {
    const rate = this.rate(nowMs);
    return rate.times(this.jobs <= 1 ? 0 : 1 - 1 / Math.sqrt(this.jobs));
  }

  private decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.updatedMs) / this.timeMs);
    this.work = this.work.times(factor);
    this.jobs *= factor;
    this.updatedMs = nowMs;
  }
}
