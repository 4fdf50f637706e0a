import { describe, it } from '@acaciadock/core/testing';
import { closingWaitMs, DEFAULT_CREDIT_TIMING } from './CreditTiming.js';
import { type CreditLedger } from './CreditLedger.js';
import { LedgerGroup } from './testing/LedgerGroup.js';

const TEAM = 'bench';
const LEASE_MS = 10_000;
const WAIT_MS = closingWaitMs(DEFAULT_CREDIT_TIMING, LEASE_MS);

function startAll(ledger: CreditLedger): string[] {
  const useIds: string[] = [];
  for (let use = ledger.tryAcquire(TEAM, 0); use; use = ledger.tryAcquire(TEAM, 0)) {
    useIds.push(use.useId);
  }
  return useIds;
}

function groupOf(entryIds: readonly string[], limit: number): LedgerGroup {
  const group = new LedgerGroup(entryIds);
  group.setLimit(1, TEAM, limit);
  group.catchUp(...group.ledgers);
  const inForce = { configVersion: 1, limits: new Map([[TEAM, limit]]), longestLeaseMs: LEASE_MS };
  group.ledgers.forEach((ledger) => ledger.setLimits(inForce));
  return group;
}

function pair(limit: number): [LedgerGroup, CreditLedger, CreditLedger] {
  const group = groupOf(['a', 'b'], limit);
  const [a, b] = group.ledgers as [CreditLedger, CreditLedger];
  return [group, a, b];
}

/** The taker uses all it has and asks for more, the giver gives; the transfer is returned and not delivered. */
function transferFromTo(group: LedgerGroup, giver: CreditLedger, taker: CreditLedger) {
  startAll(taker);
  taker.want(TEAM, 100, group.nowMs);
  group.deliver(taker, group.flush(taker));
  return group.flush(giver);
}

describe('courses that once broke a design of the ledger', () => {
  it('1: a raise at one entry before the lowering has reached the other', (t) => {
    const [group, a, b] = pair(8);
    t.equal(startAll(b).length, 4);
    group.setLimit(2, TEAM, 4);
    group.setLimit(3, TEAM, 6);
    group.catchUp(a);
    const runningAtA = startAll(a).length;
    t.ok(runningAtA + b.running(TEAM) <= 6, 'nothing starts above the new limit');
    group.flush(a);
    group.catchUp(a, b);
    t.equal(group.truth.team(TEAM)?.debt, 0);
    t.equal(a.holding(TEAM) + b.holding(TEAM), 6);
    t.end();
  });

  it('2: a transfer that arrives after its sender was balanced and shared out', (t) => {
    const [group, a, b] = pair(8);
    const late = transferFromTo(group, b, a);
    t.equal(b.holding(TEAM), 0, 'debited before it was sent');
    group.join('b', '2');
    group.catchUp(a);
    group.deliver(b, late);
    t.equal(a.holding(TEAM), 4, 'a closed member gives nothing');
    group.nowMs += WAIT_MS;
    group.flush(a);
    group.catchUp(a);
    group.deliver(b, late);
    t.equal(group.truth.closingMembers().length, 0);
    t.equal(a.holding(TEAM), 6, 'its part of what the closed member held, once');
    t.end();
  });

  it('3: a limit lowered below what an entry runs takes only what is free', (t) => {
    const [group, a, b] = pair(10);
    const useIds = startAll(a);
    group.setLimit(2, TEAM, 2);
    group.catchUp(a, b);
    [a, b].forEach((ledger) => group.flush(ledger));
    group.catchUp(a, b);
    t.equal(a.holding(TEAM), 5, 'what runs is still held');
    t.equal(b.holding(TEAM), 0);
    t.equal(a.tryAcquire(TEAM, 0), undefined);
    useIds.forEach((useId) => a.release(useId, group.nowMs));
    group.flush(a);
    group.catchUp(a, b);
    t.equal(a.holding(TEAM) + b.holding(TEAM), 2);
    t.end();
  });

  it('4: a pause cannot move the start-by instant of a credit', (t) => {
    const [, a] = pair(2);
    t.equal(a.tryAcquire(TEAM, 123)?.acquiredAtMs, 123);
    t.end();
  });

  it('5 and 6: credits of a lost entry wait until no work on them can run', (t) => {
    const group = groupOf(['a', 'b', 'c'], 9);
    const [a, b, c] = group.ledgers as [CreditLedger, CreditLedger, CreditLedger];
    startAll(b);
    group.evict('b:1', ['a:1', 'c:1']);
    group.catchUp(a, c);
    group.nowMs += WAIT_MS - 1;
    [a, c].forEach((ledger) => group.flush(ledger));
    t.same(group.truth.closingMembers(), ['b:1']);
    t.equal(group.truth.stranded(TEAM), 3);
    group.nowMs += 1;
    group.flush(a);
    t.same(group.truth.closingMembers(), ['b:1'], 'one balance is not all');
    group.flush(c);
    group.catchUp(a, c);
    t.equal(a.holding(TEAM) + c.holding(TEAM), 9);
    t.end();
  });

  it('6: nobody left to balance: the first newcomer waits as long', (t) => {
    const group = groupOf(['a'], 4);
    const [a] = group.ledgers as [CreditLedger];
    startAll(a);
    group.join('a', '2');
    t.equal(group.truth.team(TEAM)?.grantedTo('a:2'), 0);
    t.equal(group.truth.stranded(TEAM), 4);
    t.end();
  });

  it('7: a record whose append was answered by nobody may land twice', (t) => {
    const [group, a, b] = pair(8);
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
    t.equal(group.truth.team(TEAM)?.debt, 0);
    t.equal(a.holding(TEAM) + b.holding(TEAM), 2);
    t.end();
  });

  it('a transfer that is lost, doubled or overtaken counts once', (t) => {
    const [group, a, b] = pair(8);
    const first = transferFromTo(group, b, a);
    group.deliver(b, first);
    group.deliver(b, first);
    t.equal(a.holding(TEAM), 8);
    b.want(TEAM, 2, group.nowMs);
    group.nowMs += 1_000;
    b.want(TEAM, 2, group.nowMs);
    group.deliver(b, group.flush(b));
    const back = group.flush(a);
    group.deliver(b, first);
    group.deliver(a, back);
    group.deliver(a, back);
    t.equal(a.holding(TEAM) + b.holding(TEAM), 8);
    t.end();
  });
});
