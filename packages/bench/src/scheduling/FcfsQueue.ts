/** Baseline queue: first come, first served across all teams and both urgencies. */
import { type TeamId } from '@acaciadock/core';
import { type Backlog, QueueDiscipline, type QueueItem } from '@acaciadock/scheduling';

export class FcfsQueue<Item extends QueueItem> extends QueueDiscipline<Item> {
  protected readonly waiting = new Map<string, Item>();

  private readonly parked = new Set<TeamId>();

  override get size(): number {
    return this.waiting.size;
  }

  override get urgentSize(): number {
    return this.waiting.size;
  }

  override configure(): void {
    // This queue ignores shares.
  }

  override push(item: Item): void {
    this.waiting.set(item.ticketId, item);
  }

  override get(ticketId: string): Item | undefined {
    return this.waiting.get(ticketId);
  }

  override remove(ticketId: string): Item | undefined {
    const item = this.waiting.get(ticketId);
    this.waiting.delete(ticketId);
    return item;
  }

  override peek(): Item | undefined {
    for (const item of this.waiting.values()) {
      if (!this.parked.has(item.teamId)) return item;
    }
    return undefined;
  }

  override start(item: Item): number {
    this.remove(item.ticketId);
    return 0;
  }

  override end(): void {
    // Teams are not charged for slot time.
  }

  override chargeElsewhere(): void {
    // Teams are not charged for slot time.
  }

  override park(teamId: TeamId): void {
    this.parked.add(teamId);
  }

  override unpark(teamId: TeamId): void {
    this.parked.delete(teamId);
  }

  /** Reports an empty backlog, so that no wait is predicted and no request refused for it. */
  override backlog(): Backlog {
    return { tickets: 0, aheadMs: 0, portion: 1, leadMs: 0, debtMs: 0 };
  }

  override recordArrival(): void {
    // Waits are not predicted, so arrivals are not recorded.
  }

  override competingMs(): number {
    return 0;
  }

  override nextUrgent(): Item | undefined {
    return undefined;
  }

  override items(): Item[] {
    return [...this.waiting.values()];
  }
}
