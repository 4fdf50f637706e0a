/**
 * How much processor the work that arrives at a pool asks for, as a moving rate: core-milliseconds
 * that arrive in a millisecond are the cores that must be at hand to keep up.
 */

/** Arrivals lose most of their weight after this time, in milliseconds. */
const MEMORY_MS = 1_500;

export class ArrivalMeter {
  private sum = 0;

  private updatedMs = 0;

  /** Notes work of so many thousandths of a core times milliseconds. */
  note(cpuMilliMs: number, nowMs: number): void {
    this.decay(nowMs);
    this.sum += cpuMilliMs;
  }

  /** Thousandths of a core that keep up with the present arrivals. */
  cpuMilli(nowMs: number): number {
    this.decay(nowMs);
    return this.sum / MEMORY_MS;
  }

  private decay(nowMs: number): void {
    this.sum *= Math.exp(-(nowMs - this.updatedMs) / MEMORY_MS);
    this.updatedMs = nowMs;
  }
}
