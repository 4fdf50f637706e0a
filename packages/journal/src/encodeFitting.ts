/** Encodes lists whose lengths come from outside, such as an entry for each queue, into one record. */

/** Most bytes of the value; the rest of a record is for its key. */
export const MAX_VALUE_BYTES = 261_000;

/** Part of the entries that is kept if all of them exceed the record by nothing. */
const SAFETY_FACTOR = 0.9;

/** Encodes as many of the entries, from the first one on, as one record holds. */
export function encodeFitting<T>(
  entries: readonly T[],
  wrap: (kept: readonly T[]) => unknown = (kept) => kept,
): Buffer {
  let kept = entries;
  let encoded = Buffer.from(JSON.stringify(wrap(kept)));
  while (encoded.length > MAX_VALUE_BYTES && kept.length > 0) {
    kept = kept.slice(
      0,
      Math.floor((kept.length * MAX_VALUE_BYTES * SAFETY_FACTOR) / encoded.length),
    );
    encoded = Buffer.from(JSON.stringify(wrap(kept)));
  }
  return encoded;
}
