/**
 * The durations that a simulated fleet runs with: the product's own, or all of them shortened, so
 * that a run of the same length sees evictions of entries that are alive and many more faults
 * between the steps of the protocols.
 */
import { DEFAULT_MEMBERSHIP_TIMING, type MembershipTiming } from '@acaciadock/membership';
import { type CreditTiming, DEFAULT_CREDIT_TIMING } from '../CreditTiming.js';

export interface FleetTiming {
  readonly membership: MembershipTiming;
  readonly credits: CreditTiming;
  readonly leaseMs: number;
}

const PRODUCT_LEASE_MS = 2_000;
const SHORT_RATIO = 0.4;

export const PRODUCT_TIMING: FleetTiming = {
  membership: DEFAULT_MEMBERSHIP_TIMING,
  credits: DEFAULT_CREDIT_TIMING,
  leaseMs: PRODUCT_LEASE_MS,
};

function shorten<T extends object>(timing: T): T {
  const entries = Object.entries(timing).map(([name, value]) => [
    name,
    name.endsWith('Ms') ? (value as number) * SHORT_RATIO : (value as number),
  ]);
  return Object.fromEntries(entries) as T;
}

/** The clock skew stays as it is: it is a fact of the machines. */
export const SHORT_TIMING: FleetTiming = {
  membership: shorten(DEFAULT_MEMBERSHIP_TIMING),
  credits: {
    ...shorten(DEFAULT_CREDIT_TIMING),
    clockSkewMs: DEFAULT_CREDIT_TIMING.clockSkewMs,
  },
  leaseMs: PRODUCT_LEASE_MS * SHORT_RATIO,
};
