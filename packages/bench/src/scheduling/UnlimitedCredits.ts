/** Credits without a limit, for benches in which team limits play no part. */
import {
  type Clock,
  CreditSource,
  type CreditUse,
  EventEmitter,
  type TeamId,
} from '@acaciadock/core';

export class UnlimitedCredits extends CreditSource {
  constructor(private readonly clock: Clock) {
    super();
  }

  override readonly onAvailable = new EventEmitter<TeamId>().event;

  override tryAcquire(teamId: TeamId): CreditUse {
    return {
      useId: 'free',
      teamId,
      holderEntryId: 'e0',
      epoch: 0,
      acquiredAtMs: this.clock.unixMs(),
    };
  }

  override release(): void {
    // Uses are not counted.
  }

  override reportDemand(): void {
    // Credits are always available.
  }
}
