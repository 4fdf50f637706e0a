/** Timeouts and periods of the membership protocol, and the relations that keep it safe. */

export interface MembershipTiming {
  readonly heartbeatMs: number;
  /** Maximum number of peers that get a heartbeat in one round; rounds rotate over all peers. */
  readonly fanOut: number;
  /** How long a proof of membership stays valid; without a valid one the entry starts no work. */
  readonly fenceMs: number;
  /** A member that has been silent for longer than this is not used as a home. */
  readonly liveMs: number;
  /** How long a member must be silent before it is suspected. Longer than `fenceMs`. */
  readonly silenceMs: number;
  /** How long a member must be missing from the platform's list before it is suspected. */
  readonly absenceMs: number;
  /** A vote to evict counts only while it is no older than this. */
  readonly voteFreshMs: number;
  /** An eviction is invalid if the log appends it later than this after it was sent. */
  readonly evictionExpiryMs: number;
  /** How long a voter withholds its support from a member after voting to evict it. */
  readonly voteBindsMs: number;
  /**
   * How long all members but the voters must be silent and missing from the list before an eviction
   * needs no majority.
   */
  readonly massLossMs: number;
  /** An entry that has lagged behind a newer configuration for longer than this starts no work. */
  readonly staleMs: number;
}

/**
 * `voteBindsMs` must exceed the sum of `voteFreshMs`, `evictionExpiryMs` and the clock skew, so that
 * every vote in a valid eviction still binds its voter when the log appends the record.
 */
export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
  heartbeatMs: 1_000,
  fanOut: 8,
  fenceMs: 3_000,
  liveMs: 2_500,
  silenceMs: 6_000,
  absenceMs: 5_000,
  voteFreshMs: 3_000,
  evictionExpiryMs: 2_000,
  voteBindsMs: 10_000,
  massLossMs: 60_000,
  staleMs: 3_000,
};
