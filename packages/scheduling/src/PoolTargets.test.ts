import { describe, it } from '@acaciadock/core/testing';
import { type InstanceConfig } from '@acaciadock/config';
import { PoolTargets, type PlacementRequirements } from './PoolTargets.js';

function instance(change: Partial<InstanceConfig> = {}): InstanceConfig {
  return {
    poolId: 'p',
    zoneId: 'z',
    rackId: 'r0',
    address: '127.0.0.1:1',
    cores: 1,
    memoryBytes: 1,
    accelerators: 0,
    slots: 2,
    connections: 64,
    intent: 'serving',
    ...change,
  };
}

function poolOf(instances: Readonly<Record<string, InstanceConfig>>): PoolTargets {
  const pool = new PoolTargets();
  pool.configure(new Map(Object.entries(instances)));
  return pool;
}

function requirements(change: Partial<PlacementRequirements> = {}): PlacementRequirements {
  const avoidTargetIds: ReadonlySet<string> = new Set();
  const avoidRackIds: ReadonlySet<string> = new Set();
  return { accelerators: 0, avoidTargetIds, avoidRackIds, mayBeTrial: false, ...change };
}

describe('PoolTargets', () => {
  it('picks the least loaded target and keeps the slot counts up to date', (t) => {
    const pool = poolOf({ a: instance(), b: instance() });
    pool.take('a');
    t.equal(pool.pick(requirements()), 'b');
    pool.take('b');
    pool.take('b');
    t.equal(pool.pick(requirements()), 'a');
    pool.take('a');
    t.equal(pool.pick(requirements()), undefined);
    t.same([pool.slots, pool.freeSlots], [4, 0]);
    pool.release('b');
    t.equal(pool.pick(requirements()), 'b');
    t.equal(pool.freeSlots, 1);
  });

  describe('does not pick', () => {
    const cases: readonly { name: string; change: (pool: PoolTargets) => void }[] = [
      { name: 'a target closed to new work', change: (pool) => pool.setClosed(new Set(['a'])) },
      {
        name: 'a target with the intent to drain',
        change: (pool) => pool.configure(new Map([['a', instance({ intent: 'draining' })]])),
      },
      { name: 'an ejected target', change: (pool) => pool.setEjected('a', true) },
      { name: 'a target in its cooldown', change: (pool) => pool.setCoolingDown('a', true) },
      { name: 'a target removed from the pool', change: (pool) => pool.configure(new Map()) },
    ];
    cases.forEach(({ name, change }) => {
      it(name, (t) => {
        const pool = poolOf({ a: instance() });
        change(pool);
        t.equal(pool.pick(requirements()), undefined);
        t.equal(pool.freeSlots, 0);
      });
    });
  });

  describe('with targets and racks to avoid', () => {
    const racks = { a: instance(), b: instance(), c: instance({ rackId: 'r1' }) };
    const avoid = requirements({ avoidTargetIds: new Set(['a']), avoidRackIds: new Set(['r0']) });

    it('prefers another rack, then another target', (t) => {
      const pool = poolOf(racks);
      t.equal(pool.pick(avoid), 'c');
      pool.setEjected('c', true);
      t.equal(pool.pick(avoid), 'b');
    });

    it('waits for a busy target rather than picking an avoided one', (t) => {
      const pool = poolOf(racks);
      ['b', 'b', 'c', 'c'].forEach((targetId) => pool.take(targetId));
      t.equal(pool.pick(avoid), undefined);
    });

    it('picks an avoided target only if there is no other', (t) => {
      t.equal(poolOf({ a: instance() }).pick(avoid), 'a');
    });
  });

  it('uses one eligible run as the trial of an ejected target', (t) => {
    const pool = poolOf({ a: instance(), b: instance() });
    pool.setEjected('a', true);
    pool.allowTrial('a');
    t.equal(pool.pick(requirements()), 'b');
    t.equal(pool.pick(requirements({ mayBeTrial: true })), 'a');
    pool.take('a');
    t.equal(pool.pick(requirements({ mayBeTrial: true })), 'b');
  });

  it('counts work that it did not place, also beyond the number of slots', (t) => {
    const pool = poolOf({ a: instance() });
    ['a', 'a', 'a'].forEach((targetId) => pool.take(targetId));
    t.equal(pool.freeSlots, 0);
    pool.release('a');
    t.equal(pool.pick(requirements()), undefined);
    pool.release('a');
    t.equal(pool.pick(requirements()), 'a');
  });
});
