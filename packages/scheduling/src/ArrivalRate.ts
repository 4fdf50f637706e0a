/** Rate of arriving slot time, as an exponentially decaying mean with a time constant of 300 ms. */
const TIME_CONSTANT_MS = 300;

export class ArrivalRate {
  private rate = 0;

  private lastMs = Number.NEGATIVE_INFINITY;

  /** Adds work that arrives now and needs `slotMs` of slot time. */
  add(slotMs: number, nowMs: number): void {
    this.rate = this.at(nowMs) + slotMs / TIME_CONSTANT_MS;
    this.lastMs = Math.max(this.lastMs, nowMs);
  }

  /** The rate at `nowMs`: the number of slots that the arriving work would keep busy. */
  at(nowMs: number): number {
    if (this.rate === 0) return 0;
    return this.rate * Math.exp(-Math.max(0, nowMs - this.lastMs) / TIME_CONSTANT_MS);
  }
}
