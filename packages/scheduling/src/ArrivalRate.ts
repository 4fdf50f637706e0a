/** Slot time that arrives per millisecond, as an exponentially decaying mean over some hundred milliseconds. */
const TIME_CONSTANT_MS = 300;

export class ArrivalRate {
  private rate = 0;

  private lastMs = Number.NEGATIVE_INFINITY;

  /** Counts work of `slotMs` that arrives now. */
  add(slotMs: number, nowMs: number): void {
    this.rate = this.at(nowMs) + slotMs / TIME_CONSTANT_MS;
    this.lastMs = Math.max(this.lastMs, nowMs);
  }

  /** The rate now: slots that the arriving work would keep busy. */
  at(nowMs: number): number {
    if (this.rate === 0) return 0;
    return this.rate * Math.exp(-Math.max(0, nowMs - this.lastMs) / TIME_CONSTANT_MS);
  }
}
