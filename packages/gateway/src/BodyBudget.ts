/** Bounds the bytes of callers' bodies that an entry holds at once. */
export class BodyBudget {
  private usedBytes = 0;

  constructor(private readonly mostBytes: number) {}

  /** Bytes that are held now. */
  get heldBytes(): number {
    return this.usedBytes;
  }

  /** Takes `bytes`; false if they do not fit, and then nothing is taken. */
  tryTake(bytes: number): boolean {
    if (this.usedBytes + bytes > this.mostBytes) return false;
    this.usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.usedBytes -= bytes;
  }
}
