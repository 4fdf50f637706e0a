/**
 * Promise: an accepted configuration takes effect at every entry within seconds and never reverts.
 * Tested under outages, delays, restarts, lost responses, expired records and concurrent operators.
 */
import { describe, it } from '@acaciadock/core/testing';
import { limitPatch, smallDocument } from '@acaciadock/config/testing';
import { CONFIG_STREAM } from '@acaciadock/platform';
import { FaultSchedule, ModelFleet } from '@acaciadock/replication/testing';

const SEED = 20_261_203;
const SCHEDULES = 100;
const EFFECTIVE_WITHIN_MS = 8_000;
const HOUR_MS = 3_600_000;
const SNAPSHOTS = { periodMs: 600_000, maxRecords: 500, jitterMs: 30_000 };

function createFleet(entries: number): ModelFleet {
  return new ModelFleet({ entries, initial: smallDocument(), snapshots: SNAPSHOTS }, SEED);
}

function setLogFaults(fleet: ModelFleet, faults: { down?: boolean; delayMs?: number }): void {
  fleet.entries.forEach((entry) => Object.assign(entry.way.faults, faults));
}

describe('an accepted configuration', () => {
  it(`never reverts in ${SCHEDULES} random fault schedules from seed ${SEED}`, async (t) => {
    for (let index = 0; index < SCHEDULES; index += 1) {
      const verdict = await new FaultSchedule(SEED + index).run();
      const { reverts, divergences, falseAnswers, converged } = verdict;
      t.same(
        { reverts, divergences, falseAnswers, converged },
        { reverts: 0, divergences: 0, falseAnswers: 0, converged: true },
        `seed ${SEED + index}`,
      );
    }
  });

  // The delay applies twice to each call: before it takes effect and before its answer.
  const slowLogs: readonly [string, number][] = [
    ['a healthy log', 0],
    ['a log that answers after one second', 500],
    ['a log that answers after three seconds', 1_500],
  ];
  slowLogs.forEach(([name, delayMs]) => {
    it(`takes effect in time at eight entries with ${name}`, async (t) => {
      const fleet = createFleet(8);
      await fleet.advance(1_000);
      setLogFaults(fleet, { delayMs });
      const submitted = fleet.entry(0).submitter.submit(limitPatch('a', 0, 5));
      await fleet.advance(EFFECTIVE_WITHIN_MS);
      t.match(await submitted, { verdict: { kind: 'applied' } });
      t.ok(fleet.allAt(1));
      fleet.dispose();
    });
  });

  it('takes effect in time at entries that receive it only from their peers', async (t) => {
    const fleet = createFleet(8);
    await fleet.advance(1_000);
    fleet.entries.slice(1).forEach((entry) => Object.assign(entry.way.faults, { down: true }));
    await fleet.advance(5_000);
    const submitted = fleet.entry(0).submitter.submit(limitPatch('a', 0, 5));
    await fleet.advance(EFFECTIVE_WITHIN_MS);
    t.match(await submitted, { verdict: { kind: 'applied' } });
    t.ok(fleet.allAt(1));
    fleet.dispose();
  });

  it('survives an outage of the log in which every entry is replaced in turn', async (t) => {
    const fleet = createFleet(4);
    await fleet.advance(1_000);
    const submitted = fleet.entry(0).submitter.submit(limitPatch('a', 0, 5));
    await fleet.advance(1_000);
    t.match(await submitted, { verdict: { kind: 'applied' } });
    setLogFaults(fleet, { down: true });
    for (const index of fleet.entries.keys()) {
      await fleet.advance(HOUR_MS / 60);
      fleet.restart(index).way.faults.down = true;
      await fleet.advance(3_000);
      t.equal(fleet.entry(index).follower.state().version, 1);
      t.ok(fleet.entry(index).follower.isReady());
    }
    t.match(await fleet.entry(0).submitter.submit(limitPatch('b', 1, 6)), {
      kind: 'not-appended',
    });
    setLogFaults(fleet, { down: false });
    await fleet.advance(EFFECTIVE_WITHIN_MS);
    t.ok(fleet.allAt(1));
    t.same(fleet.violations, []);
    fleet.dispose();
  });

  it('is kept when the log comes back without its newest records', async (t) => {
    const fleet = createFleet(3);
    await fleet.advance(1_000);
    for (let version = 0; version < 5; version += 1) {
      fleet.store.append(CONFIG_STREAM, [limitPatch(`p${version}`, version, version)]);
    }
    await fleet.advance(1_000);
    fleet.store.truncate(CONFIG_STREAM, 2);
    fleet.restart(2);
    await fleet.advance(EFFECTIVE_WITHIN_MS);
    t.ok(fleet.allAt(5), 'a restarted entry receives from its peers what the log has lost');
    t.same(fleet.violations, []);
    fleet.dispose();
  });
});
