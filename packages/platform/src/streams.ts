/**
 * Names of the streams that acaciadock keeps in the platform's log, and the maximum append
 * rate of each. The log as a whole accepts several hundred appends a second.
 */

/** Patches and snapshots of the configuration. */
export const CONFIG_STREAM = 'acaciadock.config';
/** Roster, credit epochs, and the role and intents of the maintenance controller. */
export const CONTROL_STREAM = 'acaciadock.control';
/** Claims and releases of idempotency keys. */
export const CLAIMS_STREAM = 'acaciadock.claims';
/** Summaries for the report on burn rates of service-level objectives. */
export const BURN_STREAM = 'acaciadock.burn';

/** Maximum appends a second to each stream, summed over all entries. */
export const APPEND_BUDGET_PER_SECOND = {
  [CONFIG_STREAM]: 25,
  [CONTROL_STREAM]: 25,
  [CLAIMS_STREAM]: 200,
  [BURN_STREAM]: 5,
} as const;
