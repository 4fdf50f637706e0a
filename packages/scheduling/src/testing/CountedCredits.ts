/** A credit source in which every team has the same limit, and which records the credits in use. */
import {
  type Clock,
  CreditSource,
  type CreditUse,
  EventEmitter,
  type TeamId,
} from '@acaciadock/core';

const DEFAULT_LIMIT = 1_000;

export class CountedCredits extends CreditSource {
  private readonly emitter = new EventEmitter<TeamId>();

  override readonly onAvailable = this.emitter.event;

  readonly inUse = new Map<string, TeamId>();

  limit = DEFAULT_LIMIT;

  private next = 0;

  constructor(private readonly clock: Clock) {
    super();
  }

  override tryAcquire(teamId: TeamId): CreditUse | undefined {
    if ([...this.inUse.values()].filter((used) => used === teamId).length >= this.limit) {
      return undefined;
    }
    this.next += 1;
    const useId = `u${this.next}`;
    this.inUse.set(useId, teamId);
    return { useId, teamId, holderEntryId: 'e0', epoch: 0, acquiredAtMs: this.clock.unixMs() };
  }

  override release(useId: string): void {
    const teamId = this.inUse.get(useId);
    if (teamId === undefined) return;
    this.inUse.delete(useId);
    this.emitter.fire(teamId);
  }

  override reportDemand(): void {
    // There is no other holder to request credits from.
  }
}
