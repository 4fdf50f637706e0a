/**
 * Credits by a static split: each entry may use an equal part of each team's limit, the remainder
 * going to the first entries by name. Safe with no message at all, but a busy team at one entry
 * reaches only its part; the baseline that the ledger is measured against.
 */
import {
  type Clock,
  CreditSource,
  type CreditUse,
  type EntryId,
  EventEmitter,
  type TeamId,
} from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';

export class StaticSplit extends CreditSource {
  private readonly availableEmitter = new EventEmitter<TeamId>();

  override readonly onAvailable = this.availableEmitter.event;

  private readonly inUse = new Map<string, TeamId>();

  private readonly running = new Map<TeamId, number>();

  private nextUse = 0;

  constructor(
    private readonly selfEntryId: EntryId,
    private readonly entryIds: readonly EntryId[],
    private readonly config: ConfigView,
    private readonly clock: Clock,
  ) {
    super();
  }

  /** How many credits of the team this entry holds, in use or free. */
  holding(teamId: TeamId): number {
    const limit = this.config.state().document.teams[teamId]?.limit ?? 0;
    const place = [...this.entryIds].sort().indexOf(this.selfEntryId);
    if (place < 0) return 0;
    const base = Math.floor(limit / this.entryIds.length);
    return base + (place < limit % this.entryIds.length ? 1 : 0);
  }

  override tryAcquire(teamId: TeamId): CreditUse | undefined {
    const running = this.running.get(teamId) ?? 0;
    if (running >= this.holding(teamId)) return undefined;
    this.running.set(teamId, running + 1);
    this.nextUse += 1;
    const useId = `${this.selfEntryId}:${this.nextUse}`;
    this.inUse.set(useId, teamId);
    return {
      useId,
      teamId,
      holderEntryId: this.selfEntryId,
      epoch: 0,
      acquiredAtMs: this.clock.unixMs(),
    };
  }

  override release(useId: string): void {
    const teamId = this.inUse.get(useId);
    if (teamId === undefined) return;
    this.inUse.delete(useId);
    this.running.set(teamId, (this.running.get(teamId) ?? 1) - 1);
    this.availableEmitter.fire(teamId);
  }

  override want(): void {
    // The split never changes, so there is nobody to ask.
  }
}
