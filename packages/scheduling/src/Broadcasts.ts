/** What a home tells all entries from time to time: drains, and the slot time of teams. */
import { type PeerNetwork } from '@acaciadock/peers';
import { type TeamSlotTime } from './FleetUsage.js';
import { type DrainReporter } from './DrainReporter.js';
import { type PoolHomes } from './PoolHomes.js';

const MOST_TEAMS_TOLD = 32;

export class Broadcasts {
  constructor(
    private readonly homes: PoolHomes,
    private readonly network: PeerNetwork,
    private readonly drains: DrainReporter,
  ) {}

  /** Tells of the work on leaving targets, if there are any. */
  tellDrains(): void {
    const status = this.drains.status();
    if (!status) return;
    this.homes.liveEntries().forEach((entryId) => this.network.send(entryId, status));
  }

  /** Tells the other homes of the teams that were given most here. */
  tellUsage(local: readonly TeamSlotTime[]): void {
    const teams = [...local].sort((a, b) => b.slotMs - a.slotMs).slice(0, MOST_TEAMS_TOLD);
    if (teams.length === 0) return;
    this.homes
      .liveEntries()
      .filter((entryId) => entryId !== this.network.selfEntryId)
      .forEach((entryId) => this.network.send(entryId, { kind: 'team-usage', teams }));
  }
}
