/**
 * Notices that the demand of a pool rises towards a turn before it dominates the arrivals. It answers the
 * first turns of a day, which no forecast knows: a turn begins with a part of its work while the turn
 * before it fades, and instances must be ordered then to be there for the rest.
 */
import { type PoolArrivals } from './TurnForecast.js';

/** Minimum fraction of all arrivals of a pool that rises. */
const RISING_SHARE = 0.25;

/**
 * Minimum arrivals of a pool that rises, as a fraction of the largest total so far: in a quiet moment a
 * single job can be most of the arrivals.
 */
const RISING_LEVEL = 0.15;

/** A rise counts once it has lasted this long, in milliseconds. */
const CONFIRM_MS = 300;

/** A rise that has not become a turn after this time, in milliseconds, is not taken for one. */
const MAX_RISE_MS = 2_500;

export class RisingPools {
  private largestTotalCpuMilli = 0;

  private readonly sinceMs = new Map<string, number>();

  observe(pools: readonly PoolArrivals[], nowMs: number): void {
    const total = pools.reduce((sum, { cpuMilli }) => sum + cpuMilli, 0);
    this.largestTotalCpuMilli = Math.max(this.largestTotalCpuMilli, total);
    const minCpuMilli = Math.max(total * RISING_SHARE, this.largestTotalCpuMilli * RISING_LEVEL);
    pools.forEach(({ poolId, cpuMilli }) => {
      if (cpuMilli === 0 || cpuMilli < minCpuMilli) this.sinceMs.delete(poolId);
      else if (!this.sinceMs.has(poolId)) this.sinceMs.set(poolId, nowMs);
    });
  }

  isRising(poolId: string, nowMs: number): boolean {
    const sinceMs = this.sinceMs.get(poolId);
    if (sinceMs === undefined) return false;
    return nowMs - sinceMs >= CONFIRM_MS && nowMs - sinceMs < MAX_RISE_MS;
  }
}
