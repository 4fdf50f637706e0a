/**
 * Decides whether work may start in an availability zone, from the operator's requests to evacuate
 * zones. An entry that has not read the requests recently may have missed one, so nothing starts
 * anywhere until it has read them again.
 */
import { type Clock } from '@acaciadock/core';

/** The operator's requests as this entry last read them. */
export interface EvacuationRequests {
  /** Zones under evacuation, with the monotonic time at which the entry received each request. */
  readonly zones: ReadonlyMap<string, number>;
  /** Monotonic time from which a request may be missing; `-Infinity` before the first read. */
  readonly asOfMs: number;
  /** The same moment on the wall clock, which also advances while the machine is suspended. */
  readonly asOfUnixMs: number;
}

/**
 * Maximum age of the requests for a start, in milliseconds. No start may happen later than 5 s
 * after the store has confirmed a request; the rest is for the order to reach its target. The age
 * is at most about 2 s in normal operation, and 3.5 s if one answer of the store is lost.
 */
const MAX_REQUESTS_AGE_MS = 4_000;

export class ZoneEvacuation {
  constructor(
    private readonly requests: () => EvacuationRequests,
    private readonly clock: Clock,
  ) {}

  /** Zones under evacuation, with the monotonic time at which the request was received. */
  get zones(): ReadonlyMap<string, number> {
    return this.requests().zones;
  }

  isEvacuated(zoneId: string): boolean {
    return this.zones.has(zoneId);
  }

  /** Whether tasks may start in the zone. */
  mayStartIn(zoneId: string): boolean {
    const { zones, asOfMs, asOfUnixMs } = this.requests();
    if (this.clock.monotonicMs() - asOfMs > MAX_REQUESTS_AGE_MS) return false;
    if (this.clock.unixMs() - asOfUnixMs > MAX_REQUESTS_AGE_MS) return false;
    return !zones.has(zoneId);
  }
}
