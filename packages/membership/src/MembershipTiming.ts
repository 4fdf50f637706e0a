/** The durations that membership rests on, and the relations between them that make it safe. */

export interface MembershipTiming {
  readonly heartbeatMs: number;
  /** Most peers that get a heartbeat in one round; the rounds rotate over all of them. */
  readonly fanOut: number;
  /** A proof of being current is good for this long: past it nothing starts. */
  readonly fenceMs: number;
  /** A member that is silent this long is no home. */
  readonly liveMs: number;
  /** A member must be silent this long before it is suspected. Longer than `fenceMs`. */
  readonly silenceMs: number;
  /** A member must be off the platform's list this long before it is suspected. */
  readonly absenceMs: number;
  /** A vote counts while it is younger than this. */
  readonly voteFreshMs: number;
  /** An eviction is void if the log takes it later than this after it was sent. */
  readonly evictionExpiryMs: number;
  /** A voter stands by nobody that it voted out within this time. */
  readonly voteBindsMs: number;
  /** How long most of the roster must be silent and off the list before it may go without votes. */
  readonly massLossMs: number;
  /** An entry that has known of a newer configuration for this long starts nothing. */
  readonly staleMs: number;
}

/** `voteBindsMs` exceeds `voteFreshMs`, `evictionExpiryMs` and the clock skew together. */
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
