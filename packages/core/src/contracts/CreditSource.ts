/**
 * The right to run work of a team. One credit is one request running anywhere in the fleet; the
 * credits of a team never sum to more than its limit. The ledger implements this contract, the
 * dispatcher consumes it.
 */
import { type Event } from '../EventEmitter.js';
import { type EntryId, type TeamId } from '../ids.js';

/** A credit in use. It travels with the grant, so that a recount can attribute running work. */
export interface CreditUse {
  readonly useId: string;
  readonly teamId: TeamId;
  readonly holderEntryId: EntryId;
  readonly epoch: number;
  /**
   * Wall clock read before the fence was checked. A grant's start-by instant counts from here, so
   * that a pause between the check and the grant cannot extend it.
   */
  readonly acquiredAtMs: number;
}

export abstract class CreditSource {
  /** Fires with a team that may have free credits here again. */
  abstract readonly onAvailable: Event<TeamId>;

  /** Takes one free credit that this entry holds, or undefined if it holds none. */
  abstract tryAcquire(teamId: TeamId): CreditUse | undefined;

  /**
   * Frees a credit. Called only when the work is known to have ended or its lease has lapsed,
   * clock skew included. Freeing it again has no effect.
   */
  abstract release(useId: string): void;

  /** Tells how many credits of the team this entry could use now, so that peers send some. */
  abstract want(teamId: TeamId, count: number): void;
}
