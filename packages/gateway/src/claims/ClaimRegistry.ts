/** Claims of idempotency keys as the gateway uses them; `ClaimLedger` implements them on the log. */
import { type ClaimHolder } from './ClaimTable.js';
import { type Claim, type ClaimRelease } from './ClaimRecord.js';
import { type FirstSentVerdict } from './ClaimHorizon.js';

export type ClaimEnd =
  /** The claim is the first one for its key: the work may be sent. */
  | { readonly kind: 'first' }
  /** Another claim holds the key. */
  | { readonly kind: 'held'; readonly holder: ClaimHolder }
  /** The log did not record the claim in time: the work was not sent. */
  | { readonly kind: 'unavailable' };

export abstract class ClaimRegistry {
  /** Whether all claims that the log retains have been read. */
  abstract readonly isReady: boolean;

  /** Whether the claims cover requests that the caller first sent at this time. */
  abstract classify(firstSentAtMs: number): FirstSentVerdict;

  /** Claims a key; resolves at `untilMs` (monotonic) at the latest. */
  abstract claim(claim: Claim, untilMs: number): Promise<ClaimEnd>;

  /** Releases a key. Called only for work that has not run. */
  abstract release(release: ClaimRelease): void;
}
