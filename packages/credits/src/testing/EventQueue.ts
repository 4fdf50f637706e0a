/** Event queue in virtual time: a binary heap of actions, ordered by time and insertion. */

interface Scheduled {
  readonly atMs: number;
  readonly sequence: number;
  readonly action: () => void;
}

function isBefore(a: Scheduled, b: Scheduled): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

export class EventQueue {
  private readonly heap: Scheduled[] = [];

  private sequence = 0;

  private elapsedMs = 0;

  get nowMs(): number {
    return this.elapsedMs;
  }

  after(delayMs: number, action: () => void): void {
    this.sequence += 1;
    const atMs = this.elapsedMs + Math.max(0, delayMs);
    this.heap.push({ atMs, sequence: this.sequence, action });
    this.siftUp(this.heap.length - 1);
  }

  /** Runs all actions due up to `untilMs` and advances the time to it. */
  runUntil(untilMs: number): void {
    for (let next = this.takeDue(untilMs); next; next = this.takeDue(untilMs)) {
      this.elapsedMs = next.atMs;
      next.action();
    }
    this.elapsedMs = untilMs;
  }

  private takeDue(untilMs: number): Scheduled | undefined {
    const first = this.heap.at(0);
    if (!first || first.atMs > untilMs) return undefined;
    this.removeFirst();
    return first;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (!last || this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown();
  }

  private siftUp(from: number): void {
    let index = from;
    const item = this.heap[index] as Scheduled;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      const parentItem = this.heap[parent] as Scheduled;
      if (!isBefore(item, parentItem)) break;
      this.heap[index] = parentItem;
      index = parent;
    }
    this.heap[index] = item;
  }

  private siftDown(): void {
    const item = this.heap[0] as Scheduled;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const right = this.heap[child + 1];
      if (right && isBefore(right, this.heap[child] as Scheduled)) child += 1;
      const smallerChild = this.heap[child];
      if (!smallerChild || !isBefore(smallerChild, item)) break;
      this.heap[index] = smallerChild;
      index = child;
    }
    this.heap[index] = item;
  }
}
