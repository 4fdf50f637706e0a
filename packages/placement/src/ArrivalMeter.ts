/**
 * Measures the CPU demand of the work that arrives at a pool, as an exponentially decaying rate.
 * Core-milliseconds of work that arrive per millisecond equal the number of cores that the pool
 * needs to keep up.
 */

/** Time constant of the exponential decay, in milliseconds. */
const TIME_CONSTANT_MS = 1_500;

export class ArrivalMeter {
  private sum = 0;

  private updatedMs = 0;

  /** Records arriving work; `cpuMilliMs` is thousandths of a core times milliseconds. */
  note(cpuMilliMs: number, nowMs: number): void {
    this.decay(nowMs);
    this.sum += cpuMilliMs;
  }

  /** CPU needed to keep up with the current arrival rate, in thousandths of a core. */
  cpuMilli(nowMs: number): number {
    this.decay(nowMs);
    return this.sum / TIME_CONSTANT_MS;
  }

  private decay(nowMs: number): void {
    this.sum *= Math.exp(-(nowMs - this.updatedMs) / TIME_CONSTANT_MS);
    this.updatedMs = nowMs;
  }
}
