/**
 * Timeouts of a simulated fleet: either the production values, or all of them shortened. With the
 * short ones, a run of the same length includes evictions of running entries and many more faults
 * between the protocol steps.
 */
import { DEFAULT_MEMBERSHIP_TIMING, type MembershipTiming } from '@acaciadock/membership';
import { type CreditTiming, DEFAULT_CREDIT_TIMING } from '../CreditTiming.js';

export interface FleetTiming {
  readonly membership: MembershipTiming;
  readonly credits: CreditTiming;
  readonly leaseMs: number;
}

const PRODUCTION_LEASE_MS = 2_000;
const SHORT_RATIO = 0.4;

export const PRODUCTION_TIMING: FleetTiming = {
  membership: DEFAULT_MEMBERSHIP_TIMING,
  credits: DEFAULT_CREDIT_TIMING,
  leaseMs: PRODUCTION_LEASE_MS,
};

function shorten<T extends object>(timing: T): T {
  const entries = Object.entries(timing).map(([name, value]) => [
    name,
    name.endsWith('Ms') ? (value as number) * SHORT_RATIO : (value as number),
  ]);
  return Object.fromEntries(entries) as T;
}

/** The clock skew is not shortened, because it is a property of the machines. */
export const SHORT_TIMING: FleetTiming = {
  membership: shorten(DEFAULT_MEMBERSHIP_TIMING),
  credits: {
    ...shorten(DEFAULT_CREDIT_TIMING),
    clockSkewMs: DEFAULT_CREDIT_TIMING.clockSkewMs,
  },
  leaseMs: PRODUCTION_LEASE_MS * SHORT_RATIO,
};
