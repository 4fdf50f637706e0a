/**
 * Permits to run work of a team. One credit allows one running request anywhere in the fleet, and
 * the credits of a team never add up to more than its limit. The credit ledger implements this
 * contract and the dispatcher uses it.
 */
import { type Event } from '../EventEmitter.js';
import { type EntryId, type TeamId } from '../ids.js';

/** A credit in use. The grant carries it, so that running work can be attributed to its credit. */
export interface CreditUse {
  readonly useId: string;
  readonly teamId: TeamId;
  readonly holderEntryId: EntryId;
  /** Offset of the last control stream record that the holder had applied; 0 if there is none. */
  readonly epoch: number;
  /**
   * Wall-clock time, read before the fence was checked. The latest start time of a grant is
   * computed from it, so that a pause between the check and the grant cannot extend it.
   */
  readonly acquiredAtMs: number;
}

export abstract class CreditSource {
  /** Fires with the id of a team that may have free credits at this entry again. */
  abstract readonly onAvailable: Event<TeamId>;

  /** Takes a free credit that this entry holds; undefined if it holds none. */
  abstract tryAcquire(teamId: TeamId): CreditUse | undefined;

  /**
   * Frees a credit. Must be called only once the work is known to have ended or its lease has
   * expired, with an allowance for clock skew. Freeing a credit again has no effect.
   */
  abstract release(useId: string): void;

  /** Sets how many credits of the team this entry could use now, so that peers transfer some. */
  abstract reportDemand(teamId: TeamId, count: number): void;
}
