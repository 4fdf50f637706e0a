import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { FleetUsage } from './FleetUsage.js';
import { FleetWork } from './FleetWork.js';
import { ChosenHomes } from './testing/ChosenHomes.js';
import { RecordingNetwork } from './testing/RecordingNetwork.js';

function createFixture(): { clock: ManualClock; network: RecordingNetwork; work: FleetWork } {
  const clock = new ManualClock();
  const network = new RecordingNetwork();
  return { clock, network, work: new FleetWork(new ChosenHomes(), network, clock) };
}

function drainStatus(openGrants: number): {
  kind: 'drain-status';
  instances: { instanceId: string; openGrants: number }[];
} {
  return { kind: 'drain-status', instances: [{ instanceId: 't0', openGrants }] };
}

describe('FleetWork', () => {
  it('never treats an instance as idle without a recent report of a home', (t) => {
    const { clock, network, work } = createFixture();
    t.equal(work.openGrants('t0'), Infinity);
    network.deliver('e0', drainStatus(0));
    t.equal(work.openGrants('t0'), 0);
    t.same([...work.draining()], ['t0']);
    clock.advance(3_000);
    t.equal(work.openGrants('t0'), Infinity);
    t.same([...work.draining()], []);
  });

  it('adds up the reports of the previous home and the new one', (t) => {
    const { network, work } = createFixture();
    network.deliver('e0', drainStatus(2));
    network.deliver('g1', drainStatus(1));
    t.equal(work.openGrants('t0'), 3);
    network.deliver('e0', drainStatus(0));
    t.equal(work.openGrants('t0'), 1);
  });

  it('repeats the closed instances, and sends an empty set once when none is closed', (t) => {
    const { clock, network, work } = createFixture();
    const messages = (): number => network.of('targets-closed').length;
    work.setClosedToNewWork(new Set(['t0']));
    t.equal(messages(), 3, 'one message for each entry');
    clock.advance(2_000);
    t.equal(messages(), 9);
    work.setClosedToNewWork(new Set());
    t.same(network.of('targets-closed').at(-1)?.instanceIds, []);
    clock.advance(5_000);
    t.equal(messages(), 12);
  });
});

describe('FleetUsage', () => {
  it('charges a fraction of the slot time in other pools, of this home and others, once', (t) => {
    const usage = new FleetUsage();
    usage.addLocal('p0', 'a', 100);
    usage.addLocal('p1', 'a', 60);
    usage.addLocal('p1', 'b', 40);
    usage.addRemote([{ teamId: 'a', slotMs: 40 }]);
    const { charges, local } = usage.collect();
    t.same(charges.get('p0'), [{ teamId: 'a', slotMs: 25 }]);
    t.same(charges.get('p1'), [{ teamId: 'a', slotMs: 35 }]);
    t.same(local, [
      { teamId: 'a', slotMs: 160 },
      { teamId: 'b', slotMs: 40 },
    ]);
    t.equal(usage.collect().charges.size, 0);
  });

  it('limits the charge of a pool, however much a team received elsewhere', (t) => {
    const usage = new FleetUsage();
    usage.addLocal('p0', 'a', 100);
    usage.addRemote([{ teamId: 'a', slotMs: 1_000_000 }]);
    t.same(usage.collect().charges.get('p0'), [{ teamId: 'a', slotMs: 75 }]);
  });
});
