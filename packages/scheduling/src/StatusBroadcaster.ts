/**
 * The periodic messages of a home to all entries: drain status, and the slot time used by teams.
 */
import { type PeerNetwork } from '@acaciadock/peers';
import { type TeamSlotTime } from './FleetUsage.js';
import { type DrainReporter } from './DrainReporter.js';
import { type PoolHomes } from './PoolHomes.js';

const MAX_TEAMS_REPORTED = 32;

export class StatusBroadcaster {
  constructor(
    private readonly homes: PoolHomes,
    private readonly network: PeerNetwork,
    private readonly drainReporter: DrainReporter,
  ) {}

  /**
   * Sends the number of open grants on closed targets to all entries, if there are such targets.
   */
  broadcastDrainStatus(): void {
    const status = this.drainReporter.status();
    if (!status) return;
    this.homes.liveEntries().forEach((entryId) => this.network.send(entryId, status));
  }

  /** Sends the slot time of the teams that received most here to all other entries. */
  broadcastUsage(local: readonly TeamSlotTime[]): void {
    const teams = [...local].sort((a, b) => b.slotMs - a.slotMs).slice(0, MAX_TEAMS_REPORTED);
    if (teams.length === 0) return;
    this.homes
      .liveEntries()
      .filter((entryId) => entryId !== this.network.selfEntryId)
      .forEach((entryId) => this.network.send(entryId, { kind: 'team-usage', teams }));
  }
}
