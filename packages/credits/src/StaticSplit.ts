/**
 * Credit source with a static split: each entry may use an equal share of each team's limit, and
 * the remainder goes to the first entries in order of their ids. It is safe without any messages,
 * but a team that is busy at a single entry can use only that entry's share. It is the baseline
 * against which the ledger is measured.
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

  private lastUseNumber = 0;

  constructor(
    private readonly selfEntryId: EntryId,
    private readonly entryIds: readonly EntryId[],
    private readonly config: ConfigView,
    private readonly clock: Clock,
  ) {
    super();
  }

  /** Number of the team's credits that this entry holds, in use or free. */
  holding(teamId: TeamId): number {
    const limit = this.config.state().document.teams[teamId]?.limit ?? 0;
    const position = [...this.entryIds].sort().indexOf(this.selfEntryId);
    if (position < 0) return 0;
    const base = Math.floor(limit / this.entryIds.length);
    return base + (position < limit % this.entryIds.length ? 1 : 0);
  }

  override tryAcquire(teamId: TeamId): CreditUse | undefined {
    const running = this.running.get(teamId) ?? 0;
    if (running >= this.holding(teamId)) return undefined;
    this.running.set(teamId, running + 1);
    this.lastUseNumber += 1;
    const useId = `${this.selfEntryId}:${this.lastUseNumber}`;
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

  override reportDemand(): void {
    // The split never changes, so there is no peer to request credits from.
  }
}
