/**
 * A first-in first-out queue whose members can be removed from any place in constant time: a
 * doubly linked list and an index from key to node.
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

  /** The member that has waited longest. */
  first(): T | undefined {
    return this.head?.value;
  }

  /** Adds a member at the end; a key that is present already is left where it is. */
  push(key: string, value: T): void {
    if (this.nodes.has(key)) return;
    const node: Node<T> = { key, value, previous: this.tail, next: undefined };
    if (this.tail) this.tail.next = node;
    else this.head = node;
    this.tail = node;
    this.nodes.set(key, node);
  }

  /** Removes a member; undefined if there is none under this key. */
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

  /** All members, the longest waiting first. */
  values(): T[] {
    const found: T[] = [];
    for (let node = this.head; node; node = node.next) found.push(node.value);
    return found;
  }
}
