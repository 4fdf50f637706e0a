/** What the gateway asks of claims; implemented by the ledger over the log. */
import { type ClaimHolder } from './ClaimTable.js';
import { type Claim, type ClaimRelease } from './ClaimRecord.js';
import { type StampVerdict } from './ClaimHorizon.js';

export type ClaimEnd =
  /** The claim is the first of its key: the work may be sent. */
  | { readonly kind: 'first' }
  /** Another claim holds the key. */
  | { readonly kind: 'held'; readonly holder: ClaimHolder }
  /** The log did not take the claim in time: the work was not sent. */
  | { readonly kind: 'unavailable' };

export abstract class ClaimBook {
  /** Whether all claims that the log keeps are known here. */
  abstract readonly isReady: boolean;

  /** Whether claims can still tell about a request with this caller's time. */
  abstract judge(stampMs: number): StampVerdict;

  /** Claims a key; settles by `untilMs` (monotonic) at the latest. */
  abstract claim(claim: Claim, untilMs: number): Promise<ClaimEnd>;

  /** Gives a key free again. Called only for work that has not run. */
  abstract release(release: ClaimRelease): void;
}
