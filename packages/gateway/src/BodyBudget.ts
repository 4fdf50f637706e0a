/** Limits the total size of the request bodies that an entry holds in memory. */
export class BodyBudget {
  private usedBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Number of bytes that are reserved now. */
  get heldBytes(): number {
    return this.usedBytes;
  }

  /** Reserves `bytes`. Returns false, and reserves nothing, if they exceed the budget. */
  tryReserve(bytes: number): boolean {
    if (this.usedBytes + bytes > this.maxBytes) return false;
    this.usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.usedBytes -= bytes;
  }
}
