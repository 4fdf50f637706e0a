import { describe, it } from '@acaciadock/core/testing';
import { limitPatch, smallDocument } from '@acaciadock/config/testing';
import { CONFIG_STREAM } from '@acaciadock/platform';
import { type Test } from 'tap';
import { snapshotScheduleFor } from './SnapshotPublisher.js';
import { ModelFleet } from './testing/index.js';

const SEED = 20_261_203;
const RETENTION_MS = 400_000;

function createFleet(t: Test, entries: number): ModelFleet {
  const snapshots = snapshotScheduleFor(RETENTION_MS);
  const fleet = new ModelFleet({ entries, initial: smallDocument(), snapshots }, SEED);
  fleet.store.retentionMs = RETENTION_MS;
  t.teardown(() => fleet.dispose());
  return fleet;
}

function countSnapshots(fleet: ModelFleet): number {
  return fleet.store
    .records(CONFIG_STREAM)
    .filter(({ payload }) => (payload as { kind: string }).kind === 'snapshot').length;
}

describe('SnapshotPublisher', () => {
  it('publishes one snapshot for all entries when it is due', async (t) => {
    const fleet = createFleet(t, 8);
    fleet.store.append(CONFIG_STREAM, [limitPatch('a', 0, 5)]);
    await fleet.advance(RETENTION_MS / 4 - 1_000);
    t.equal(countSnapshots(fleet), 0);
    await fleet.advance(RETENTION_MS / 20 + 2_000);
    t.equal(countSnapshots(fleet), 1);
  });

  it('publishes when many records have followed the last snapshot', async (t) => {
    const fleet = createFleet(t, 3);
    for (let version = 0; version < 2_000; version += 1) {
      fleet.store.append(CONFIG_STREAM, [limitPatch(`p${version}`, version, version)]);
    }
    await fleet.advance(RETENTION_MS / 20 + 2_000);
    t.equal(countSnapshots(fleet), 1);
  });

  it('publishes nothing before the first patch', async (t) => {
    const fleet = createFleet(t, 2);
    await fleet.advance(RETENTION_MS);
    t.equal(countSnapshots(fleet), 0);
  });

  it('lets entries start after every patch has expired', async (t) => {
    const fleet = createFleet(t, 2);
    fleet.store.append(CONFIG_STREAM, [limitPatch('a', 0, 5)]);
    await fleet.advance(3 * RETENTION_MS);
    t.equal(
      fleet.store.records(CONFIG_STREAM).some(({ offset }) => offset === 0),
      false,
    );
    fleet.restart(0);
    fleet.restart(1);
    await fleet.advance(5_000);
    t.ok(fleet.allAt(1));
    t.ok(fleet.entry(0).follower.isReady());
    t.equal(fleet.entry(0).follower.state().document.teams.desk?.limit, 5);
  });

  it('publishes again when its append had no effect', async (t) => {
    const fleet = createFleet(t, 1);
    fleet.store.append(CONFIG_STREAM, [limitPatch('a', 0, 5)]);
    await fleet.advance(1_000);
    fleet.entry(0).way.faults.refuseAppends = 1;
    await fleet.advance(RETENTION_MS / 4 + RETENTION_MS / 10 + 15_000);
    t.equal(countSnapshots(fleet), 1);
  });
});
