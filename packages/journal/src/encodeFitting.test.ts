/** Tests records with an entry for each queue, pool or team, of which a deployment may have any number. */
import { describe, it } from '@acaciadock/core/testing';
import { encodeFitting, MAX_VALUE_BYTES } from './encodeFitting.js';

describe('encodeFitting', () => {
  it('keeps all entries that fit', (t) => {
    t.equal(encodeFitting([1, 2], (kept) => ({ kept })).toString(), '{"kept":[1,2]}');
  });

  it('keeps the first ones, and most of what fits, if there are too many', (t) => {
    // Fails if the record exceeds what the store takes as soon as a deployment has enough queues.
    const entries = Array.from({ length: 9_000 }, (_, index) => `${index}`.padEnd(60, '\u0001'));
    const encoded = encodeFitting(entries);
    t.ok(encoded.length <= MAX_VALUE_BYTES && encoded.length > MAX_VALUE_BYTES * 0.7);
    const kept = JSON.parse(encoded.toString()) as string[];
    t.same(kept, entries.slice(0, kept.length));
  });
});
