/**
 * Which background runs are checkpointed for urgent work that waits: the youngest first, for they
 * lose least, and only of idempotent requests, for those may run again.
 */
import { type Placement } from './WaitingTicket.js';

const MOST_AT_ONCE = 8;

export class PreemptionChoice {
  private readonly background = new Set<Placement>();

  private readonly preemptible: Placement[] = [];

  private readonly long = new Set<Placement>();

  private readonly pending = new Set<Placement>();

  /** Background runs under way. */
  get backgroundRuns(): number {
    return this.background.size;
  }

  /** Slots held by long runs that can't be preempted. */
  get heldSlots(): number {
    return this.long.size;
  }

  add(placement: Placement, isLong: boolean): void {
    const { urgency, ticket } = placement.waiting;
    const canStop = urgency === 'background' && ticket.idempotent;
    if (urgency === 'background') this.background.add(placement);
    if (canStop) this.preemptible.push(placement);
    if (isLong && !canStop) this.long.add(placement);
  }

  remove(placement: Placement): void {
    this.background.delete(placement);
    this.long.delete(placement);
    this.pending.delete(placement);
    this.trim();
  }

  /** The run could not be checkpointed: another may be chosen in its place. */
  keep(placement: Placement): void {
    this.pending.delete(placement);
  }

  wasPreempted(placement: Placement): boolean {
    return this.pending.has(placement);
  }

  /** Picks runs to checkpoint, counting those already asked for, for `urgentWaiting` tickets. */
  choose(urgentWaiting: number): Placement[] {
    const chosen: Placement[] = [];
    const most = Math.min(MOST_AT_ONCE, urgentWaiting) - this.pending.size;
    while (chosen.length < most) {
      const youngest = this.preemptible.pop();
      if (!youngest) return chosen;
      if (this.background.has(youngest)) {
        this.pending.add(youngest);
        chosen.push(youngest);
      }
    }
    return chosen;
  }

  /** Drops ended runs once they are the greater part. */
  private trim(): void {
    if (this.preemptible.length <= 2 * this.background.size + MOST_AT_ONCE) return;
    const live = this.preemptible.filter((placement) => this.background.has(placement));
    this.preemptible.splice(0, this.preemptible.length, ...live);
  }
}
