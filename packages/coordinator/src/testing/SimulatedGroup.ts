/** The ownership group of the simulated store, as one entry reaches it. */
import {
  type GroupMember,
  type GroupView,
  type LogFailure,
  type OwnerNotice,
  OwnershipGroup,
} from '@acaciadock/journal';
import { err, ok, type Result } from 'neverthrow';
import { type PausableClock } from './PausableClock.js';
import { type SimulatedStore, type StoreFaults } from './SimulatedStore.js';

export class SimulatedGroup extends OwnershipGroup {
  constructor(
    private readonly store: SimulatedStore,
    private readonly clock: PausableClock,
    private readonly faults: StoreFaults,
  ) {
    super();
  }

  override join(self: GroupMember): Promise<Result<GroupView, LogFailure>> {
    return this.store.call(this.clock, this.faults, () => ok(this.store.join(self)));
  }

  override leave(self: GroupMember): Promise<Result<void, LogFailure>> {
    return this.store.call(this.clock, this.faults, () => ok(this.store.leave(self)));
  }

  override members(): Promise<Result<readonly GroupMember[], LogFailure>> {
    return this.store.call(this.clock, this.faults, () => ok(this.store.listedMembers()));
  }

  override announce(notice: OwnerNotice): Promise<Result<void, LogFailure>> {
    return this.store.call(this.clock, this.faults, () => {
      if (this.store.faults.losesNotices) return err({ kind: 'rejected', detail: 'lost' });
      return ok(this.store.announce(notice));
    });
  }

  override announced(): Promise<Result<OwnerNotice | undefined, LogFailure>> {
    return this.store.call(this.clock, this.faults, () => ok(this.store.announced));
  }
}
