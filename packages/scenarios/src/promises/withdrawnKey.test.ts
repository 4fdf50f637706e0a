/**
 * Promise: a withdrawn key stops working within seconds, also at an entry that cannot read the log.
 */
import { describe, it } from '@acaciadock/core/testing';
import { TeamKey } from '@acaciadock/config';
import { patchRecord, smallDocument } from '@acaciadock/config/testing';
import { ModelFleet } from '@acaciadock/replication/testing';
import { type Test } from 'tap';

const SEED = 20_261_203;
const ENTRIES = 4;
const WITHDRAWN_WITHIN_MS = 2_000;
const TEAM_ID = 'desk';
const SNAPSHOTS = { periodMs: 600_000, maxRecords: 500, jitterMs: 30_000 };

async function withGrantedKey(
  t: Test,
  body: (fleet: ModelFleet, withdraw: () => Promise<number[]>) => Promise<void>,
): Promise<void> {
  const fleet = new ModelFleet(
    { entries: ENTRIES, initial: smallDocument(), snapshots: SNAPSHOTS },
    SEED,
  );
  const { keyId, key, sha256 } = TeamKey.create(TEAM_ID);
  const path = `/teams/${TEAM_ID}/keys/${keyId}`;
  const grant = patchRecord('grant', 0, [{ op: 'add', path, value: { sha256, grantedAtMs: 0 } }]);
  await fleet.advance(1_000);
  const granted = fleet.entry(0).submitter.submit(grant);
  await fleet.advance(1_000);
  t.match(await granted, { verdict: { kind: 'applied' } });
  const acceptingEntries = (): number[] =>
    fleet.entries.flatMap(({ follower }, index) => {
      if (!follower.isReady() || follower.behindForMs() !== undefined) return [];
      return TeamKey.holder(follower.state().document, key) ? [index] : [];
    });
  t.same(acceptingEntries(), [0, 1, 2, 3], 'the key works everywhere at first');
  const withdraw = async (): Promise<number[]> => {
    void fleet.entry(0).submitter.submit(patchRecord('withdraw', 1, [{ op: 'remove', path }]));
    await fleet.advance(WITHDRAWN_WITHIN_MS);
    return acceptingEntries();
  };
  await body(fleet, withdraw);
  t.same(fleet.violations, []);
  fleet.dispose();
}

describe('a withdrawn key', () => {
  it('stops working everywhere', (t) =>
    withGrantedKey(t, async (_, withdraw) => {
      t.same(await withdraw(), []);
    }));

  it('stops working at entries that cannot reach the log', (t) =>
    withGrantedKey(t, async (fleet, withdraw) => {
      [2, 3].forEach((index) => Object.assign(fleet.entry(index).way.faults, { down: true }));
      await fleet.advance(5_000);
      t.same(await withdraw(), []);
    }));

  it('stops working at an entry whose requests to the log hang', (t) =>
    withGrantedKey(t, async (fleet, withdraw) => {
      Object.assign(fleet.entry(3).way.faults, { delayMs: 60_000 });
      await fleet.advance(5_000);
      t.same(await withdraw(), []);
    }));

  it('stops working when the response to the withdrawal is lost', (t) =>
    withGrantedKey(t, async (fleet, withdraw) => {
      Object.assign(fleet.entry(0).way.faults, { loseAppendAnswers: 1 });
      t.same(await withdraw(), []);
    }));

  it('stays withdrawn at an entry that is replaced while the log is down', (t) =>
    withGrantedKey(t, async (fleet, withdraw) => {
      t.same(await withdraw(), []);
      fleet.entries.forEach((entry) => Object.assign(entry.way.faults, { down: true }));
      Object.assign(fleet.restart(1).way.faults, { down: true });
      await fleet.advance(5_000);
      t.ok(fleet.entry(1).follower.isReady());
      t.equal(
        Object.keys(fleet.entry(1).follower.state().document.teams[TEAM_ID]?.keys ?? {}).length,
        0,
      );
    }));
});
