/**
 * How far each peer has read the configuration stream, according to its heartbeats. The position of
 * a peer expires if no further heartbeat arrives.
 */
import { type Clock, type EntryId } from '@acaciadock/core';
import { type Heartbeat } from '@acaciadock/peers';

/** How long the position in a heartbeat is valid. */
const POSITION_TTL_MS = 60_000;

export interface PeerPosition {
  readonly entryId: EntryId;
  readonly version: number;
  readonly offset: number;
  readonly logReachable: boolean;
  readonly heardAtMs: number;
}

export class PeerPositions {
  private readonly positions = new Map<EntryId, PeerPosition>();

  constructor(private readonly clock: Clock) {}

  observe(entryId: EntryId, heartbeat: Heartbeat): void {
    this.positions.set(entryId, {
      entryId,
      version: heartbeat.configVersion,
      offset: heartbeat.configOffset,
      logReachable: heartbeat.logReachable,
      heardAtMs: this.clock.monotonicMs(),
    });
  }

  /** The positions that have not expired. */
  list(): PeerPosition[] {
    const sinceMs = this.clock.monotonicMs() - POSITION_TTL_MS;
    this.positions.forEach((position, entryId) => {
      if (position.heardAtMs < sinceMs) this.positions.delete(entryId);
    });
    return [...this.positions.values()];
  }

  newestVersion(): number {
    return Math.max(0, ...this.list().map(({ version }) => version));
  }

  /** Peers that have read past `offset`, the furthest first. */
  aheadOf(offset: number): PeerPosition[] {
    return this.list()
      .filter((position) => position.offset > offset)
      .sort((a, b) => b.offset - a.offset);
  }
}
