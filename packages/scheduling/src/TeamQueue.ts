/** The waiting tickets of one team, urgent and background, and the team's virtual start tag. */
import { type ServiceId, type TeamId, type Urgency } from '@acaciadock/core';
import { ArrivalRate } from './ArrivalRate.js';
import { LinkedQueue } from './LinkedQueue.js';
import { type EstimateOf, type QueueItem } from './QueueDiscipline.js';

export class TeamQueue<Item extends QueueItem> {
  /** Virtual start tag of the team's next ticket, in slot-milliseconds per unit of share. */
  tag = 0;

  /** Number of running tickets of the team. */
  running = 0;

  /** Excluded from scheduling because it lacks credits or no free slot fits its next ticket. */
  parked = false;

  /** Arrival rate of slot time, by urgency. */
  private readonly rates = { urgent: new ArrivalRate(), background: new ArrivalRate() };

  private readonly urgent = new LinkedQueue<Item>();

  private readonly background = new LinkedQueue<Item>();

  /** Number of waiting tickets of each service, by urgency. */
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
   * Returns the team's next ticket: urgent before background, unless the first background ticket
   * has aged and was accepted before the first urgent one.
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

  /**
   * Expected run time of the tickets ahead of a new ticket of this urgency: all urgent tickets, and
   * for 'background' also all background tickets.
   */
  aheadMs(urgency: Urgency, estimateOf: EstimateOf): number {
    const urgentMs = this.estimatedWorkMs('urgent', estimateOf);
    if (urgency === 'urgent') return urgentMs;
    return urgentMs + this.estimatedWorkMs('background', estimateOf);
  }

  /**
   * Slot time that arrives until `nowMs + horizonMs` if arrivals continue at the recent rate: of
   * urgent work only, or of urgent and background work for 'background'.
   */
  expectedArrivalsMs(urgency: Urgency, nowMs: number, horizonMs: number): number {
    const urgentRate = this.rates.urgent.at(nowMs);
    const rate = urgency === 'urgent' ? urgentRate : urgentRate + this.rates.background.at(nowMs);
    return rate * horizonMs;
  }

  /** Counts arriving work, whether or not it is queued. */
  recordArrival(urgency: Urgency, slotMs: number, nowMs: number): void {
    this.rates[urgency].add(slotMs, nowMs);
  }

  items(): Item[] {
    return [...this.urgent.values(), ...this.background.values()];
  }

  private queueOf(item: Item): LinkedQueue<Item> {
    return item.urgency === 'urgent' ? this.urgent : this.background;
  }

  private estimatedWorkMs(urgency: Urgency, estimateOf: EstimateOf): number {
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
