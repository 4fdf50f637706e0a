/**
 * Public interface: fleet-wide enforcement of team limits by credits.
 *
 * Terms used throughout the package:
 * - A credit is the permission to run one request of a team. All entries together hold as many
 *   credits of a team as its limit allows.
 * - A member is one membership of an entry in the roster, with the id `entryId:incarnation`. An
 *   entry that was evicted or restarted joins again as a new member with a new id, and holds none
 *   of the credits of its previous membership.
 * - A closed member is no longer active in the roster: it has left, was evicted, or was superseded
 *   by a new membership of its entry. Its credits are stranded, i.e. not available to the active
 *   members, until the member is settled, which redistributes them among those.
 * - Debt is the number of a team's credits that still have to be burnt after its limit was lowered.
 *   A member burns credits by a log record that takes free credits away from it for good.
 */
export * from './CreditBook.js';
export * from './CreditLedger.js';
export * from './CreditLedgerRunner.js';
export * from './CreditRecords.js';
export * from './CreditTiming.js';
export * from './LedgerOutbox.js';
export * from './StaticSplit.js';
export * from './TeamBook.js';
export * from './TeamCredits.js';
