import { describe, it } from '@acaciadock/core/testing';
import { closingWaitMs, DEFAULT_CREDIT_TIMING } from './CreditTiming.js';
import { type CreditLedger } from './CreditLedger.js';
import { LedgerGroup } from './testing/LedgerGroup.js';

const TEAM = 'bench';
const LEASE_MS = 10_000;
const WAIT_MS = closingWaitMs(DEFAULT_CREDIT_TIMING, LEASE_MS);

function acquireAll(ledger: CreditLedger): string[] {
  const useIds: string[] = [];
  for (let use = ledger.tryAcquire(TEAM, 0); use; use = ledger.tryAcquire(TEAM, 0)) {
    useIds.push(use.useId);
  }
  return useIds;
}

function createGroup(entryIds: readonly string[], limit: number): LedgerGroup {
  const group = new LedgerGroup(entryIds);
  group.setLimit(1, TEAM, limit);
  group.catchUp(...group.ledgers);
  const limitsInForce = {
    configVersion: 1,
    limits: new Map([[TEAM, limit]]),
    longestLeaseMs: LEASE_MS,
  };
  group.ledgers.forEach((ledger) => ledger.setLimits(limitsInForce));
  return group;
}

function createPair(limit: number): [LedgerGroup, CreditLedger, CreditLedger] {
  const group = createGroup(['a', 'b'], limit);
  const [a, b] = group.ledgers as [CreditLedger, CreditLedger];
  return [group, a, b];
}

/**
 * The recipient uses all its credits and asks for more, and the sender gives some. Returns the
 * transfer without delivering it.
 */
function requestTransfer(group: LedgerGroup, sender: CreditLedger, recipient: CreditLedger) {
  acquireAll(recipient);
  recipient.setDemand(TEAM, 100, group.nowMs);
  group.deliver(recipient, group.flush(recipient));
  return group.flush(sender);
}

describe('CreditLedger under adverse event orders', () => {
  it('one entry reads a raised limit before another has read that it was lowered', (t) => {
    const [group, a, b] = createPair(8);
    t.equal(acquireAll(b).length, 4);
    group.setLimit(2, TEAM, 4);
    group.setLimit(3, TEAM, 6);
    group.catchUp(a);
    const runningAtA = acquireAll(a).length;
    t.ok(runningAtA + b.running(TEAM) <= 6, 'no work starts beyond the new limit');
    group.flush(a);
    group.catchUp(a, b);
    t.equal(group.referenceBook.team(TEAM)?.debt, 0);
    t.equal(a.holding(TEAM) + b.holding(TEAM), 6);
    t.end();
  });

  it('a transfer arrives after the credits of its closed sender were redistributed', (t) => {
    const [group, a, b] = createPair(8);
    const late = requestTransfer(group, b, a);
    t.equal(b.holding(TEAM), 0, 'the sender is debited before the transfer is sent');
    group.join('b', '2');
    group.catchUp(a);
    group.deliver(b, late);
    t.equal(a.holding(TEAM), 4, 'a transfer from a closed member is ignored');
    group.nowMs += WAIT_MS;
    group.flush(a);
    group.catchUp(a);
    group.deliver(b, late);
    t.equal(group.referenceBook.closingMembers().length, 0);
    t.equal(a.holding(TEAM), 6, 'the share of the closed member is received exactly once');
    t.end();
  });

  it('lowering a limit below the running work burns only free credits', (t) => {
    const [group, a, b] = createPair(10);
    const useIds = acquireAll(a);
    group.setLimit(2, TEAM, 2);
    group.catchUp(a, b);
    [a, b].forEach((ledger) => group.flush(ledger));
    group.catchUp(a, b);
    t.equal(a.holding(TEAM), 5, 'credits of running work are kept');
    t.equal(b.holding(TEAM), 0);
    t.equal(a.tryAcquire(TEAM, 0), undefined);
    useIds.forEach((useId) => a.release(useId, group.nowMs));
    group.flush(a);
    group.catchUp(a, b);
    t.equal(a.holding(TEAM) + b.holding(TEAM), 2);
    t.end();
  });

  it('a credit carries the time at which the caller read the clock', (t) => {
    const [, a] = createPair(2);
    t.equal(a.tryAcquire(TEAM, 123)?.acquiredAtMs, 123);
    t.end();
  });

  it('credits of a lost entry are not redistributed while work may run on them', (t) => {
    const group = createGroup(['a', 'b', 'c'], 9);
    const [a, b, c] = group.ledgers as [CreditLedger, CreditLedger, CreditLedger];
    acquireAll(b);
    group.evict('b:1', ['a:1', 'c:1']);
    group.catchUp(a, c);
    group.nowMs += WAIT_MS - 1;
    [a, c].forEach((ledger) => group.flush(ledger));
    t.same(group.referenceBook.closingMembers(), ['b:1']);
    t.equal(group.referenceBook.stranded(TEAM), 3);
    group.nowMs += 1;
    group.flush(a);
    t.same(
      group.referenceBook.closingMembers(),
      ['b:1'],
      'both remaining members must write a balance',
    );
    group.flush(c);
    group.catchUp(a, c);
    t.equal(a.holding(TEAM) + c.holding(TEAM), 9);
    t.end();
  });

  it('a new member that replaces the only one does not receive its credits at once', (t) => {
    const group = createGroup(['a'], 4);
    const [a] = group.ledgers as [CreditLedger];
    acquireAll(a);
    group.join('a', '2');
    t.equal(group.referenceBook.team(TEAM)?.grantedTo('a:2'), 0);
    t.equal(group.referenceBook.stranded(TEAM), 4);
    t.end();
  });

  it('a record whose append was not acknowledged may be appended twice', (t) => {
    const [group, a, b] = createPair(8);
    group.setLimit(2, TEAM, 2);
    group.catchUp(a, b);
    const burn = { kind: 'credit-burn', memberId: 'a:1', sequence: 1 };
    const burns = [{ teamId: TEAM, credits: 4 }];
    group.flush(a);
    group.append({ ...burn, burns });
    group.setLimit(2, TEAM, 2);
    group.catchUp(a, b);
    group.flush(b);
    group.catchUp(a, b);
    t.equal(group.referenceBook.team(TEAM)?.debt, 0);
    t.equal(a.holding(TEAM) + b.holding(TEAM), 2);
    t.end();
  });

  it('a duplicated or delayed transfer counts once', (t) => {
    const [group, a, b] = createPair(8);
    const first = requestTransfer(group, b, a);
    group.deliver(b, first);
    group.deliver(b, first);
    t.equal(a.holding(TEAM), 8);
    b.setDemand(TEAM, 2, group.nowMs);
    group.nowMs += 1_000;
    b.setDemand(TEAM, 2, group.nowMs);
    group.deliver(b, group.flush(b));
    const back = group.flush(a);
    group.deliver(b, first);
    group.deliver(a, back);
    group.deliver(a, back);
    t.equal(a.holding(TEAM) + b.holding(TEAM), 8);
    t.end();
  });
});
