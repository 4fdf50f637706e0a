/**
 * Selects the background runs to checkpoint for waiting urgent work. The most recently started go
 * first, because they lose the least work, and only runs of idempotent requests are selected,
 * because only those may run again.
 */
import { type Placement } from './WaitingTicket.js';

/** Maximum number of requested checkpoints whose runs have not ended. */
const MAX_PENDING_CHECKPOINTS = 8;

export class PreemptionSelector {
  private readonly background = new Set<Placement>();

  private readonly preemptible: Placement[] = [];

  private readonly longRuns = new Set<Placement>();

  /** Runs whose checkpoint was requested and not abandoned, and which have not ended. */
  private readonly pending = new Set<Placement>();

  /** Number of background runs in progress. */
  get backgroundRuns(): number {
    return this.background.size;
  }

  /** Number of slots held by long runs that can't be preempted. */
  get heldSlots(): number {
    return this.longRuns.size;
  }

  add(placement: Placement, isLong: boolean): void {
    const { urgency, ticket } = placement.waiting;
    const isPreemptible = urgency === 'background' && ticket.idempotent;
    if (urgency === 'background') this.background.add(placement);
    if (isPreemptible) this.preemptible.push(placement);
    if (isLong && !isPreemptible) this.longRuns.add(placement);
  }

  remove(placement: Placement): void {
    this.background.delete(placement);
    this.longRuns.delete(placement);
    this.pending.delete(placement);
    this.compact();
  }

  /** Records that a run could not be checkpointed, so that another may be selected instead. */
  abandon(placement: Placement): void {
    this.pending.delete(placement);
  }

  /** Whether a checkpoint of this run was requested, whether or not it has taken place. */
  isPreemptionPending(placement: Placement): boolean {
    return this.pending.has(placement);
  }

  /**
   * Selects runs to checkpoint for `urgentWaiting` tickets, less the checkpoints already requested.
   */
  select(urgentWaiting: number): Placement[] {
    const chosen: Placement[] = [];
    const maxChosen = Math.min(MAX_PENDING_CHECKPOINTS, urgentWaiting) - this.pending.size;
    while (chosen.length < maxChosen) {
      const youngest = this.preemptible.pop();
      if (!youngest) return chosen;
      if (this.background.has(youngest)) {
        this.pending.add(youngest);
        chosen.push(youngest);
      }
    }
    return chosen;
  }

  /** Removes ended runs from the stack once they make up most of it. */
  private compact(): void {
    if (this.preemptible.length <= 2 * this.background.size + MAX_PENDING_CHECKPOINTS) return;
    const live = this.preemptible.filter((placement) => this.background.has(placement));
    this.preemptible.splice(0, this.preemptible.length, ...live);
  }
}
