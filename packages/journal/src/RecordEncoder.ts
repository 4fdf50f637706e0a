/** Encodes the value of a record when its batch is formed, so that the newest state is written. */

/**
 * Result of an encoder that has just written records which its own record refers to: the encoder is called again
 * once these are in a batch, so that no record in the log refers to one that is not there yet.
 */
export const ENCODE_LATER = Symbol('encode later');

/** Returns undefined to delete the key. */
export type RecordEncoder = () => Buffer | undefined | typeof ENCODE_LATER;
