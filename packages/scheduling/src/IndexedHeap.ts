/**
 * A binary min-heap that tracks the index of each member, so that a member whose rank changed can
 * be moved or removed in logarithmic time.
 */
export class IndexedHeap<T> {
  private readonly members: T[] = [];

  private readonly indexes = new Map<T, number>();

  /**
   * @param rank the member with the smallest rank is on top; members of equal rank are not swapped
   */
  constructor(private readonly rank: (member: T) => number) {}

  get size(): number {
    return this.members.length;
  }

  top(): T | undefined {
    return this.members[0];
  }

  has(member: T): boolean {
    return this.indexes.has(member);
  }

  /** Visits all members in unspecified order. */
  forEach(visit: (member: T) => void): void {
    this.members.forEach(visit);
  }

  /** Adds a member, or restores the heap order after its rank changed. */
  update(member: T): void {
    const index = this.indexes.get(member);
    if (index === undefined) {
      this.set(this.members.length, member);
      this.siftUp(this.members.length - 1);
      return;
    }
    this.siftUp(index);
    this.siftDown(this.indexes.get(member) ?? index);
  }

  remove(member: T): void {
    const index = this.indexes.get(member);
    if (index === undefined) return;
    const last = this.members.pop() as T;
    this.indexes.delete(member);
    if (last === member) return;
    this.set(index, last);
    this.update(last);
  }

  private set(index: number, member: T): void {
    this.members[index] = member;
    this.indexes.set(member, index);
  }

  private rankAt(index: number): number {
    return this.rank(this.members[index] as T);
  }

  private swap(one: number, other: number): void {
    const member = this.members[one] as T;
    this.set(one, this.members[other] as T);
    this.set(other, member);
  }

  private siftUp(from: number): void {
    let index = from;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (this.rankAt(parent) <= this.rankAt(index)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(from: number): void {
    let index = from;
    for (;;) {
      const smallest = this.smallestOfFamily(index);
      if (smallest === index) return;
      this.swap(index, smallest);
      index = smallest;
    }
  }

  private smallestOfFamily(index: number): number {
    let smallest = index;
    for (const child of [2 * index + 1, 2 * index + 2]) {
      if (child < this.members.length && this.rankAt(child) < this.rankAt(smallest))
        smallest = child;
    }
    return smallest;
  }
}
