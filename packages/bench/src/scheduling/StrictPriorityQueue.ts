/** Baseline queue: all urgent work before any background work, each first come, first served. */
import { type TeamId } from '@acaciadock/core';
import { type QueueItem } from '@acaciadock/scheduling';
import { FcfsQueue } from './FcfsQueue.js';

export class StrictPriorityQueue<Item extends QueueItem> extends FcfsQueue<Item> {
  private readonly urgent = new FcfsQueue<Item>();

  override get size(): number {
    return this.waiting.size + this.urgent.size;
  }

  override push(item: Item): void {
    if (item.urgency === 'urgent') this.urgent.push(item);
    else super.push(item);
  }

  override get(ticketId: string): Item | undefined {
    return this.urgent.get(ticketId) ?? super.get(ticketId);
  }

  override remove(ticketId: string): Item | undefined {
    return this.urgent.remove(ticketId) ?? super.remove(ticketId);
  }

  override peek(): Item | undefined {
    return this.urgent.peek() ?? super.peek();
  }

  override park(teamId: TeamId): void {
    this.urgent.park(teamId);
    super.park(teamId);
  }

  override unpark(teamId: TeamId): void {
    this.urgent.unpark(teamId);
    super.unpark(teamId);
  }
}
