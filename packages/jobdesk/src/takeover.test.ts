/**
 * Counterexamples to ownership, leases and acknowledgement, each through real elections and
 * coordinators against stand-ins in virtual time.
 */
import { describe, it } from '@acaciadock/core/testing';
import {
  assertCompletes,
  newWorld,
  ONE_STEP,
  statusOf,
  submit,
  TWO_STEPS,
} from './testing/takeoverCases.js';

describe('takeover', () => {
  describe('when the owner is killed', () => {
    it('another continues and starts within two seconds', async (t) => {
      const world = await newWorld({ runtimeMs: 300 });
      await submit(world, 'a', TWO_STEPS);
      world.killEntry(world.ownerId() ?? '');
      const diedMs = world.clock.monotonicMs();
      const took = await world.runUntil(() => world.owner !== undefined, 5_000);
      t.ok(took, 'there is an owner again');
      void world.submit('b', { steps: ONE_STEP });
      await world.runUntil(() => world.observer.startsOf('b.0.0.0') > 0, 5_000);
      t.ok(world.clock.monotonicMs() - diedMs <= 2_500, 'first start after the death');
      await assertCompletes(t, world, ['a', 'b']);
    });

    it('running work is adopted, not run again', async (t) => {
      const world = await newWorld({ runtimeMs: 3_000 });
      await submit(world, 'a');
      world.killEntry(world.ownerId() ?? '');
      await assertCompletes(t, world, ['a']);
      t.equal(world.observer.startsOf('a.0.0.0'), 1, 'started once');
    });
  });

  describe('when the owner is killed and its entry is back at once', () => {
    it('the next owner does not wait for the old membership to lapse', async (t) => {
      const world = await newWorld();
      const former = world.ownerId() ?? '';
      world.killEntry(former);
      await world.run(50);
      world.startEntry(former);
      const startedMs = world.clock.monotonicMs();
      t.ok(await world.runUntil(() => world.owner !== undefined, 3_000));
      t.ok(world.clock.monotonicMs() - startedMs < 600, 'two renewals of the membership at most');
    });
  });

  describe('when the owner stops as planned', () => {
    it('the successor starts work within a second', async (t) => {
      const world = await newWorld();
      const former = world.ownerId() ?? '';
      void world.entries.get(former)?.leave();
      await world.runUntil(() => (world.ownerId() ?? former) !== former, 3_000);
      const leftMs = world.clock.monotonicMs();
      void world.submit('a', { steps: ONE_STEP });
      await world.runUntil(() => world.observer.startsOf('a.0.0.0') > 0, 3_000);
      t.ok(world.clock.monotonicMs() - leftMs <= 1_000);
      await assertCompletes(t, world, ['a']);
    });
  });

  describe('when the owner stops as planned and a target is dark', () => {
    it('its work runs elsewhere as soon as its lease has ended', async (t) => {
      // Fails if the successor waits for extensions that a released owner no longer gives.
      const world = await newWorld({ targetCount: 2, runtimeMs: 3_000 });
      await submit(world, 'a', [{ taskCount: 8, cpuMilli: 1_000 }]);
      const former = world.ownerId() ?? '';
      world.targets.get('t0')?.crash();
      const darkMs = world.clock.monotonicMs();
      void world.entries.get(former)?.leave();
      await world.runUntil(() => (world.ownerId() ?? former) !== former, 3_000);
      const takenMs = world.clock.monotonicMs() - darkMs;
      const again = await world.runUntil(() => world.observer.startCount > 8, 7_000);
      t.ok(again, `within ${7_000 + takenMs} ms`);
      await assertCompletes(t, world, ['a']);
    });
  });

  describe('when the owner is suspended', () => {
    it('and thaws with an order planned, nothing runs twice', async (t) => {
      const world = await newWorld();
      const former = world.ownerId() ?? '';
      void world.submit('a', { steps: ONE_STEP });
      await world.run(5);
      world.entries.get(former)?.clock.pause();
      await world.runUntil(() => (world.ownerId() ?? former) !== former, 5_000);
      await world.run(1_000);
      world.entries.get(former)?.clock.resume();
      await world.run(3_000);
      t.same(world.observer.broken, []);
      t.notOk(world.entries.get(former)?.isOwner, 'the former owner has noticed');
    });
  });

  describe('when the owner is much weaker than another entry', () => {
    it('it hands over, once, and running work goes on', async (t) => {
      const world = await newWorld({ runtimeMs: 4_000 });
      const weak = world.ownerId() ?? '';
      await submit(world, 'a');
      world.startEntry('strong', 2_000);
      const startedMs = world.clock.monotonicMs();
      t.ok(
        await world.runUntil(() => world.ownerId() === 'strong', 5_000),
        `${weak} has handed over`,
      );
      t.ok(world.clock.monotonicMs() - startedMs < 3_000);
      await assertCompletes(t, world, ['a']);
      t.equal(world.observer.startsOf('a.0.0.0'), 1);
      t.equal(world.ownerId(), 'strong');
    });

    it('the gap between the two is short', async (t) => {
      const world = await newWorld();
      world.startEntry('strong', 2_000);
      let gapMs = 0;
      for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += 20) {
        await world.run(20);
        if (world.owner === undefined) gapMs += 20;
      }
      t.equal(world.ownerId(), 'strong');
      t.ok(gapMs <= 400, `${gapMs} ms without an owner`);
    });
  });

  describe('when a target falls silent', () => {
    it('its work runs elsewhere once the lease has lapsed', async (t) => {
      // Fails if each try to reach it extends its lease again.
      const world = await newWorld({ targetCount: 2, runtimeMs: 500 });
      await submit(world, 'a');
      world.targets.get('t0')?.crash();
      world.targets.get('t1')?.crash();
      world.targets.get('t1')?.rebirth();
      await assertCompletes(t, world, ['a']);
    });

    it('an end listed after its task ran elsewhere changes nothing', async (t) => {
      const world = await newWorld({ targetCount: 2, runtimeMs: 600 });
      await submit(world, 'a');
      world.entries.forEach((entry) => entry.portFaults.cutTargets.add('t0'));
      await world.run(9_000);
      world.entries.forEach((entry) => entry.portFaults.cutTargets.clear());
      await assertCompletes(t, world, ['a']);
    });

    it('a lifetime that began unnoticed is not told to forget ends by old numbers', async (t) => {
      // Seed 2000 of the schedules: fails if the first report after a pause acknowledges ends.
      const world = await newWorld({ targetCount: 1, runtimeMs: 100 });
      await submit(world, 'a');
      await assertCompletes(t, world, ['a']);
      await world.run(2_000);
      world.targets.get('t0')?.rebirth();
      await submit(world, 'b');
      await assertCompletes(t, world, ['b']);
      t.equal(world.observer.startsOf('b.0.0.0'), 1, 'its end was seen');
    });

    it('a new lifetime under the same id holds nothing of the former', async (t) => {
      const world = await newWorld({ targetCount: 1, runtimeMs: 900 });
      await submit(world, 'a');
      world.targets.get('t0')?.rebirth();
      await assertCompletes(t, world, ['a']);
    });
  });

  describe('when orders are carried out late', () => {
    it('no task runs twice', async (t) => {
      const world = await newWorld({ runtimeMs: 400 });
      world.entries.forEach((entry) => Object.assign(entry.portFaults, { lateOrderShare: 0.4 }));
      await submit(world, 'a', TWO_STEPS);
      await submit(world, 'b');
      await world.run(6_000);
      world.entries.forEach((entry) => Object.assign(entry.portFaults, { lateOrderShare: 0 }));
      await assertCompletes(t, world, ['a', 'b']);
    });
  });

  describe('when the group is dealt anew', () => {
    it('an owner that lives keeps the journal', async (t) => {
      const world = await newWorld();
      const former = world.ownerId();
      world.store.dealAnew();
      await world.run(500);
      world.store.dealAnew();
      await world.run(1_500);
      t.equal(world.ownerId(), former);
    });
  });

  describe('when all entries are killed right after an acceptance', () => {
    it('the job is not lost', async (t) => {
      const world = await newWorld();
      void world.submit('a', { steps: TWO_STEPS });
      await world.runUntil(() => world.accepted.has('a'), 1_000);
      [...world.entries.keys()].forEach((entryId) => world.killEntry(entryId));
      await world.run(1_000);
      ['e0', 'e1', 'e2'].forEach((entryId) => world.startEntry(entryId));
      await world.runUntil(() => world.owner !== undefined, 5_000);
      await assertCompletes(t, world, ['a']);
    });
  });

  describe('when a cancel overtakes the work', () => {
    it('the job is not started again and stays cancelled', async (t) => {
      const world = await newWorld({ runtimeMs: 2_000 });
      await submit(world, 'a');
      const cancelling = world.cancel('a');
      await world.run(100);
      t.same(await cancelling, { kind: 'cancelled' });
      world.killEntry(world.ownerId() ?? '');
      await world.runUntil(() => world.owner !== undefined, 5_000);
      await world.run(3_000);
      t.equal(await statusOf(world, 'a'), 'cancelled');
      t.equal(world.runningCount, 0, 'what ran was stopped');
      t.equal(world.observer.startsOf('a.0.0.0'), 1);
    });
  });

  describe('when a job is handed in again', () => {
    it('it remains one job, also after it has completed', async (t) => {
      const world = await newWorld({ runtimeMs: 200 });
      await submit(world, 'a');
      await submit(world, 'a');
      await assertCompletes(t, world, ['a']);
      await submit(world, 'a');
      await world.run(2_000);
      t.equal(world.observer.startsOf('a.0.0.0'), 1);
    });
  });
});
