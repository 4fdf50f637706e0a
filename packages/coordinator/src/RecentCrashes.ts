/**
 * Remembers which targets and racks have crashed lately. What has just crashed is likelier to crash again, whatever
 * starts there, so that a crash there says less about a task than one elsewhere.
 */
import { type Clock } from '@acaciadock/core';
import { type FleetTarget } from './FleetTarget.js';

/** A crash counts as recent for this long, in milliseconds. */
const RECENT_MS = 15_000;

export class RecentCrashes {
  /** Monotonic time of the last crash by address; the next process there may have another id. */
  private readonly byAddress = new Map<string, number>();

  private readonly byRack = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  record({ address: { address }, rackId }: FleetTarget): void {
    const nowMs = this.clock.monotonicMs();
    this.byAddress.set(address, nowMs);
    this.byRack.set(rackId, nowMs);
  }

  /** Sort key of a target, lowest first: no crash in its rack, one in its rack, one of its own. */
  rankOf({ address: { address }, rackId }: FleetTarget): number {
    if (this.isRecent(this.byAddress, address)) return 2;
    return this.isRecent(this.byRack, rackId) ? 1 : 0;
  }

  private isRecent(times: Map<string, number>, key: string): boolean {
    const crashedMs = times.get(key);
    if (crashedMs === undefined) return false;
    if (this.clock.monotonicMs() - crashedMs < RECENT_MS) return true;
    times.delete(key);
    return false;
  }
}
