/**
 * A binary heap that knows where each member is, so that a member whose rank changed can be moved
 * or removed in logarithmic time.
 */
export class IndexedHeap<T> {
  private readonly members: T[] = [];

  private readonly places = new Map<T, number>();

  /** @param rank the least ranked member is on top; ties go to whoever is there already */
  constructor(private readonly rank: (member: T) => number) {}

  get size(): number {
    return this.members.length;
  }

  top(): T | undefined {
    return this.members[0];
  }

  has(member: T): boolean {
    return this.places.has(member);
  }

  /** Visits all members, in no order. */
  forEach(visit: (member: T) => void): void {
    this.members.forEach(visit);
  }

  /** Adds a member, or moves it to where its rank now belongs. */
  update(member: T): void {
    const place = this.places.get(member);
    if (place === undefined) {
      this.set(this.members.length, member);
      this.rise(this.members.length - 1);
      return;
    }
    this.rise(place);
    this.sink(this.places.get(member) ?? place);
  }

  remove(member: T): void {
    const place = this.places.get(member);
    if (place === undefined) return;
    const last = this.members.pop() as T;
    this.places.delete(member);
    if (last === member) return;
    this.set(place, last);
    this.update(last);
  }

  private set(place: number, member: T): void {
    this.members[place] = member;
    this.places.set(member, place);
  }

  private rankAt(place: number): number {
    return this.rank(this.members[place] as T);
  }

  private swap(one: number, other: number): void {
    const member = this.members[one] as T;
    this.set(one, this.members[other] as T);
    this.set(other, member);
  }

  private rise(from: number): void {
    let place = from;
    while (place > 0) {
      const parent = Math.floor((place - 1) / 2);
      if (this.rankAt(parent) <= this.rankAt(place)) return;
      this.swap(place, parent);
      place = parent;
    }
  }

  private sink(from: number): void {
    let place = from;
    for (;;) {
      const least = this.leastOfFamily(place);
      if (least === place) return;
      this.swap(place, least);
      place = least;
    }
  }

  private leastOfFamily(place: number): number {
    let least = place;
    for (const child of [2 * place + 1, 2 * place + 2]) {
      if (child < this.members.length && this.rankAt(child) < this.rankAt(least)) least = child;
    }
    return least;
  }
}
