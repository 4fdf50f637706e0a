/** Tests what the turns of pools tell about the first turn of another. */
import { describe, it } from '@acaciadock/core/testing';
import { type NeedSample, SustainedNeeds } from './SustainedNeeds.js';

const STEP_MS = 150;

function samples(...counts: readonly number[]): NeedSample[] {
  return counts.map((count, index) => ({ atMs: index * STEP_MS, count }));
}

describe('SustainedNeeds', () => {
  it('expects the largest multiple of the initial instances that another pool needed', (t) => {
    const needs = new SustainedNeeds();
    needs.record('a', 10, samples(20, 20, 20, 20, 20, 20, 20));
    needs.record('b', 10, samples(30, 30, 30, 30, 30, 30, 30));
    t.equal(needs.expectedFor('c', 6), 18);
  });

  it('counts only what lasted', (t) => {
    // Fails if the backlog of a moment, such as after a change of owner, is taken for the need of a turn.
    const needs = new SustainedNeeds();
    needs.record('a', 10, samples(20, 20, 20, 90, 20, 20, 20));
    t.equal(needs.expectedFor('b', 10), 20);
  });

  it('expects nothing from samples of a shorter time, nor from the pool itself', (t) => {
    const needs = new SustainedNeeds();
    needs.record('a', 10, samples(20, 20));
    needs.record('b', 10, samples(30, 30, 30, 30, 30, 30, 30));
    t.equal(needs.expectedFor('b', 10), 0);
  });

  it('continues from what another process recorded', (t) => {
    const needs = new SustainedNeeds();
    needs.restore('a', { initialCount: 4, largest: 10 });
    t.equal(needs.expectedFor('b', 8), 20);
  });
});
