/**
 * Decides whether work may start in an availability zone, from the operator's requests to evacuate
 * zones. Where a request must take effect within a bound, an entry that has not read the requests
 * recently may have missed one, so nothing starts anywhere until it has read them again.
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

/** Part of the bound that is left for a start order to reach its target, in milliseconds. */
const ORDER_MS = 1_000;

export class ZoneEvacuation {
  /** Maximum age of the requests for a start, in milliseconds; infinite without a bound. */
  private readonly maxRequestsAgeMs: number;

  /**
   * `evacuateMs` is the time after the confirmation of a request from which no task starts in the
   * zone, in milliseconds; undefined if there is no such bound.
   */
  constructor(
    private readonly requests: () => EvacuationRequests,
    private readonly clock: Clock,
    evacuateMs: number | undefined,
  ) {
    this.maxRequestsAgeMs =
      evacuateMs === undefined ? Infinity : Math.max(evacuateMs - ORDER_MS, evacuateMs / 2);
  }

  /** Zones under evacuation, with the monotonic time at which the request was received. */
  get zones(): ReadonlyMap<string, number> {
    return this.requests().zones;
  }

  isEvacuated(zoneId: string): boolean {
    return this.zones.has(zoneId);
  }

  /** Whether tasks may start in the zone. */
  mayStartIn(zoneId: string): boolean {
    const requests = this.requests();
    return this.isRecent(requests) && !requests.zones.has(zoneId);
  }

  private isRecent({ asOfMs, asOfUnixMs }: EvacuationRequests): boolean {
    if (asOfMs === -Infinity) return false;
    if (this.maxRequestsAgeMs === Infinity) return true;
    if (this.clock.monotonicMs() - asOfMs > this.maxRequestsAgeMs) return false;
    return this.clock.unixMs() - asOfUnixMs <= this.maxRequestsAgeMs;
  }
}
