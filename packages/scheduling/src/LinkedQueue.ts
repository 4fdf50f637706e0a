/**
 * A first-in, first-out queue that removes any member by key in constant time. It combines a doubly
 * linked list with a map from key to node.
 */
interface Node<T> {
  readonly key: string;
  readonly value: T;
  previous: Node<T> | undefined;
  next: Node<T> | undefined;
}

export class LinkedQueue<T> {
  private head: Node<T> | undefined;

  private tail: Node<T> | undefined;

  private readonly nodes = new Map<string, Node<T>>();

  get size(): number {
    return this.nodes.size;
  }

  /** The oldest member. */
  first(): T | undefined {
    return this.head?.value;
  }

  /** Appends a member; if the key is already present, nothing changes. */
  push(key: string, value: T): void {
    if (this.nodes.has(key)) return;
    const node: Node<T> = { key, value, previous: this.tail, next: undefined };
    if (this.tail) this.tail.next = node;
    else this.head = node;
    this.tail = node;
    this.nodes.set(key, node);
  }

  /** Removes and returns a member; undefined if the key is not present. */
  remove(key: string): T | undefined {
    const node = this.nodes.get(key);
    if (!node) return undefined;
    this.nodes.delete(key);
    if (node.previous) node.previous.next = node.next;
    else this.head = node.next;
    if (node.next) node.next.previous = node.previous;
    else this.tail = node.previous;
    return node.value;
  }

  /** All members, oldest first. */
  values(): T[] {
    const found: T[] = [];
    for (let node = this.head; node; node = node.next) found.push(node.value);
    return found;
  }
}
