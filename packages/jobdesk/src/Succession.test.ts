import { describe, it } from '@acaciadock/core/testing';
import { type GroupMember } from '@acaciadock/journal';
import { Succession } from './Succession.js';

function member(entryId: string, cpuMilli: number): GroupMember {
  return { entryId, bootMs: 1, peerAddress: `${entryId}:1`, cpuMilli };
}

describe('Succession', () => {
  it('prefers the strongest member', (t) => {
    const members = [member('a', 324), member('b', 1_350), member('c', 675)];
    t.equal(Succession.successor(members, undefined)?.entryId, 'b');
  });

  it('skips the previous owner, even after its process has restarted', (t) => {
    const members = [member('a', 675), member('b', 1_350)];
    t.equal(Succession.successor(members, { ...member('b', 1_350), bootMs: 0 })?.entryId, 'a');
  });

  it('falls back to a later process of the previous owner if nobody else is there', (t) => {
    // Fails if the choice leaves out the entry in place of its process: nobody may claim then.
    const previous = { ...member('b', 1_350), bootMs: 0 };
    t.equal(Succession.successor([member('b', 1_350)], previous)?.bootMs, 1);
    t.equal(Succession.successor([previous], previous), undefined, 'not the process itself');
  });

  it('does not depend on the order of the list', (t) => {
    const members = [member('c', 675), member('a', 675), member('b', 675)];
    t.equal(Succession.successor(members, undefined)?.entryId, 'a');
    t.equal(Succession.successor([...members].reverse(), undefined)?.entryId, 'a');
  });

  it('has no successor without members', (t) => {
    t.equal(Succession.successor([], undefined), undefined);
  });
});
