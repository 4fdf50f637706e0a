/** Checks the pauses between passes over waiting work. */
import { describe, it } from '@acaciadock/core/testing';
import { PassPacer } from './PassPacer.js';

describe('the pace of passes', () => {
  it('batches changes only briefly while passes are cheap', (t) => {
    // Fails if free places wait longer than needed on a calm day.
    const pacer = new PassPacer();
    pacer.record(1_000, 1_000.2);
    t.equal(pacer.delayMs(1_000.2), 2);
    t.equal(pacer.delayMs(1_050), 2);
  });

  it('leaves four fifths of the processor to everything else while passes are long', (t) => {
    // Fails if passes over a backlog follow each other without a pause.
    const pacer = new PassPacer();
    pacer.record(1_000, 1_010);
    t.equal(pacer.delayMs(1_010), 40);
    t.equal(pacer.delayMs(1_030), 20);
  });

  it('never pauses longer than a tenth of a short task', (t) => {
    // Fails if one stalled pass keeps free places unused.
    const pacer = new PassPacer();
    pacer.record(1_000, 2_000);
    t.equal(pacer.delayMs(2_000), 60);
  });
});
