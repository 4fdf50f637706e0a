/**
 * The streams that acaciadock keeps in the platform's log, and each one's part of the log's
 * several hundred appends a second, over all entries together.
 */

export const CONFIG_STREAM = 'acaciadock.config';
/** Roster, credit epochs, the maintenance controller's role and intents. */
export const CONTROL_STREAM = 'acaciadock.control';
export const CLAIMS_STREAM = 'acaciadock.claims';
/** Summaries for the service-level burn report. */
export const BURN_STREAM = 'acaciadock.burn';

/** Most appends a second that all entries together make to each stream. */
export const APPEND_BUDGET_PER_SECOND = {
  [CONFIG_STREAM]: 25,
  [CONTROL_STREAM]: 25,
  [CLAIMS_STREAM]: 200,
  [BURN_STREAM]: 5,
} as const;
