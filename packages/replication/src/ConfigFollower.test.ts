import { describe, it } from '@acaciadock/core/testing';
import { limitPatch, smallDocument } from '@acaciadock/config/testing';
import { CONFIG_STREAM } from '@acaciadock/platform';
import { type Test } from 'tap';
import { type ConfigAlarm } from './ConfigAlarm.js';
import { ModelFleet } from './testing/index.js';

const SEED = 20_261_203;
const NO_SNAPSHOTS = { periodMs: 1e9, maxRecords: 1e9, jitterMs: 0 };

function createFleet(t: Test, entries: number, snapshots = NO_SNAPSHOTS): ModelFleet {
  const fleet = new ModelFleet({ entries, initial: smallDocument(), snapshots }, SEED);
  t.teardown(() => fleet.dispose());
  return fleet;
}

/** Appends the patches that create versions `from + 1` to `to`. */
function appendVersions(fleet: ModelFleet, from: number, to: number): void {
  for (let version = from; version < to; version += 1) {
    fleet.store.append(CONFIG_STREAM, [limitPatch(`p${version + 1}`, version, version + 1)]);
  }
}

function versionAt(fleet: ModelFleet, index: number): number {
  return fleet.entry(index).follower.state().version;
}

function collectAlarms(fleet: ModelFleet, index: number): string[] {
  const kinds: string[] = [];
  fleet.entry(index).follower.onAlarm((alarm: ConfigAlarm) => kinds.push(alarm.kind));
  return kinds;
}

describe('ConfigFollower', () => {
  describe('with the log', () => {
    it('applies patches at every entry', async (t) => {
      const fleet = createFleet(t, 3);
      appendVersions(fleet, 0, 3);
      await fleet.advance(100);
      t.ok(fleet.allAt(3));
      t.ok(fleet.entry(0).follower.isReady());
    });

    it('starts from the newest snapshot and the records after it', async (t) => {
      const fleet = createFleet(t, 2);
      appendVersions(fleet, 0, 1_500);
      await fleet.advance(500);
      fleet.store.append(CONFIG_STREAM, [fleet.entry(0).follower.snapshot()]);
      appendVersions(fleet, 1_500, 1_510);
      await fleet.advance(500);
      const seen: number[] = [];
      fleet.restart(1).follower.onChange(({ version }) => seen.push(version));
      await fleet.advance(500);
      t.equal(seen[0], 1_500, 'no record before the snapshot is reduced');
      t.equal(versionAt(fleet, 1), 1_510);
      t.same(fleet.violations, []);
    });

    it('adopts a snapshot when the records that a slow reader needs have expired', async (t) => {
      const fleet = createFleet(t, 2);
      appendVersions(fleet, 0, 5);
      await fleet.advance(100);
      fleet.hub.setIsolated('e1', true);
      fleet.entry(1).way.faults.down = true;
      appendVersions(fleet, 5, 20);
      await fleet.advance(3_000);
      fleet.store.append(CONFIG_STREAM, [fleet.entry(0).follower.snapshot()]);
      appendVersions(fleet, 20, 22);
      fleet.store.expireBefore(CONFIG_STREAM, 20);
      fleet.entry(1).way.faults.down = false;
      await fleet.advance(3_000);
      t.equal(versionAt(fleet, 1), 22);
    });

    it('is not ready, and raises an alarm, if no snapshot bridges the gap', async (t) => {
      const fleet = createFleet(t, 1);
      fleet.entry(0).way.faults.down = true;
      appendVersions(fleet, 0, 5);
      fleet.store.expireBefore(CONFIG_STREAM, 3);
      const alarms = collectAlarms(fleet, 0);
      fleet.entry(0).way.faults.down = false;
      await fleet.advance(3_000);
      t.equal(fleet.entry(0).follower.isReady(), false);
      t.same(alarms, ['no-snapshot']);
      t.equal(versionAt(fleet, 0), 0);
    });

    it('keeps its version when the log loses records, and raises an alarm', async (t) => {
      const fleet = createFleet(t, 1);
      appendVersions(fleet, 0, 5);
      await fleet.advance(100);
      const alarms = collectAlarms(fleet, 0);
      fleet.store.truncate(CONFIG_STREAM, 2);
      await fleet.advance(5_000);
      t.equal(versionAt(fleet, 0), 5);
      t.same(alarms, ['log-shortened']);
    });

    it('stops before a record of a newer format and reports that it is behind', async (t) => {
      const fleet = createFleet(t, 1);
      appendVersions(fleet, 0, 1);
      fleet.store.append(CONFIG_STREAM, [{ kind: 'patch', schemaVersion: 2 }]);
      appendVersions(fleet, 1, 2);
      const alarms = collectAlarms(fleet, 0);
      await fleet.advance(4_000);
      t.equal(versionAt(fleet, 0), 1);
      t.ok((fleet.entry(0).follower.behindForMs() ?? 0) > 3_000);
      t.same(alarms, ['record-too-new']);
    });
  });

  describe('without the log', () => {
    it('gets records from a peer when only its own connection to the log is down', async (t) => {
      const fleet = createFleet(t, 3);
      await fleet.advance(100);
      fleet.entry(2).way.faults.down = true;
      await fleet.advance(3_000);
      appendVersions(fleet, 0, 4);
      await fleet.advance(1_000);
      t.equal(versionAt(fleet, 2), 4);
      t.equal(fleet.entry(2).follower.behindForMs(), undefined);
    });

    it('gets records from a peer when its own connection to the log hangs', async (t) => {
      const fleet = createFleet(t, 2);
      await fleet.advance(100);
      fleet.entry(1).way.faults.delayMs = 30_000;
      await fleet.advance(3_000);
      appendVersions(fleet, 0, 2);
      await fleet.advance(2_000);
      t.equal(versionAt(fleet, 1), 2);
    });

    it('starts from the state of a peer during an outage of the log', async (t) => {
      const fleet = createFleet(t, 2);
      appendVersions(fleet, 0, 30);
      await fleet.advance(100);
      fleet.entries.forEach((entry) => Object.assign(entry.way.faults, { down: true }));
      await fleet.advance(3_000);
      fleet.restart(1).way.faults.down = true;
      await fleet.advance(2_000);
      t.equal(versionAt(fleet, 1), 30);
      t.ok(fleet.entry(1).follower.isReady());
    });

    it('is not ready while neither the log nor a peer is available', async (t) => {
      const fleet = createFleet(t, 1);
      fleet.entry(0).way.faults.down = true;
      await fleet.advance(10_000);
      t.equal(fleet.entry(0).follower.isReady(), false);
    });

    it('reports for how long it has been behind when it cannot get the records', async (t) => {
      const fleet = createFleet(t, 2);
      await fleet.advance(100);
      fleet.entry(1).way.faults.down = true;
      fleet.entry(1).follower.replica.observeHeartbeat('e9', {
        kind: 'heartbeat',
        incarnation: 'x',
        sentAtMs: 0,
        configVersion: 7,
        configOffset: 6,
        stopping: false,
        logReachable: true,
        controlOffset: -1,
        suspects: [],
      });
      await fleet.advance(2_000);
      t.equal(fleet.entry(1).follower.behindForMs(), 2_000);
      t.equal(fleet.entry(0).follower.behindForMs(), undefined);
    });

    it('raises an alarm when a peer reports another version after the same records', async (t) => {
      const fleet = createFleet(t, 1);
      appendVersions(fleet, 0, 2);
      await fleet.advance(100);
      const alarms = collectAlarms(fleet, 0);
      fleet.entry(0).follower.replica.observeHeartbeat('e9', {
        kind: 'heartbeat',
        incarnation: 'x',
        sentAtMs: 0,
        configVersion: 1,
        configOffset: 1,
        stopping: false,
        logReachable: true,
        controlOffset: -1,
        suspects: [],
      });
      t.same(alarms, ['peer-diverged']);
    });
  });
});
