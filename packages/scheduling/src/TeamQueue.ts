/** The waiting tickets of one team, urgent and background, and the team's place in virtual time. */
import { type ServiceId, type TeamId, type Urgency } from '@acaciadock/core';
import { ArrivalRate } from './ArrivalRate.js';
import { LinkedQueue } from './LinkedQueue.js';
import { type EstimateOf, type QueueItem } from './QueueDiscipline.js';

export class TeamQueue<Item extends QueueItem> {
  /** Virtual start tag of the team's next ticket: slot-milliseconds for each unit of share. */
  tag = 0;

  /** Tickets of the team that run. */
  running = 0;

  /** Left out of the turn, for want of credits or of a fitting slot. */
  parked = false;

  /** Work that arrives, by urgency. */
  private readonly rates = { urgent: new ArrivalRate(), background: new ArrivalRate() };

  private readonly urgent = new LinkedQueue<Item>();

  private readonly background = new LinkedQueue<Item>();

  /** How many tickets of each service wait, by urgency. */
  private readonly counts = {
    urgent: new Map<ServiceId, number>(),
    background: new Map<ServiceId, number>(),
  };

  constructor(
    readonly teamId: TeamId,
    public share: number,
  ) {}

  get size(): number {
    return this.urgent.size + this.background.size;
  }

  get urgentSize(): number {
    return this.urgent.size;
  }

  get backgroundSize(): number {
    return this.background.size;
  }

  push(item: Item): void {
    this.queueOf(item).push(item.ticketId, item);
    this.count(item, 1);
  }

  remove(item: Item): void {
    if (this.queueOf(item).remove(item.ticketId) === undefined) return;
    this.count(item, -1);
  }

  /**
   * What the team runs in its turn: urgent before background, unless the background ticket has
   * aged and is the older one.
   */
  first(nowMs: number, ageingMs: number): Item | undefined {
    const urgent = this.urgent.first();
    const background = this.background.first();
    if (!urgent) return background;
    if (!background || nowMs - background.acceptedAtMs < ageingMs) return urgent;
    return background.acceptedAtMs < urgent.acceptedAtMs ? background : urgent;
  }

  firstUrgent(): Item | undefined {
    return this.urgent.first();
  }

  /** Expected run time of what goes before a new ticket of this urgency. */
  aheadMs(urgency: Urgency, estimateOf: EstimateOf): number {
    const urgentMs = this.waitingMs('urgent', estimateOf);
    if (urgency === 'urgent') return urgentMs;
    return urgentMs + this.waitingMs('background', estimateOf);
  }

  /** Work that arrives by `nowMs + horizonMs` if it goes on as of late. */
  expectedMs(urgency: Urgency, nowMs: number, horizonMs: number): number {
    const urgentRate = this.rates.urgent.at(nowMs);
    const rate = urgency === 'urgent' ? urgentRate : urgentRate + this.rates.background.at(nowMs);
    return rate * horizonMs;
  }

  /** Counts work that arrives, queued or not. */
  arrive(urgency: Urgency, slotMs: number, nowMs: number): void {
    this.rates[urgency].add(slotMs, nowMs);
  }

  items(): Item[] {
    return [...this.urgent.values(), ...this.background.values()];
  }

  private queueOf(item: Item): LinkedQueue<Item> {
    return item.urgency === 'urgent' ? this.urgent : this.background;
  }

  private waitingMs(urgency: Urgency, estimateOf: EstimateOf): number {
    let sumMs = 0;
    this.counts[urgency].forEach((count, serviceId) => {
      sumMs += count * estimateOf({ serviceId, teamId: this.teamId, urgency });
    });
    return sumMs;
  }

  private count({ urgency, serviceId }: Item, change: 1 | -1): void {
    const counts = this.counts[urgency];
    const count = (counts.get(serviceId) ?? 0) + change;
    if (count > 0) counts.set(serviceId, count);
    else counts.delete(serviceId);
  }
}
