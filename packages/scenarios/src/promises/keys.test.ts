import { TeamKey } from '@acaciadock/config';
import { describe, it } from '@acaciadock/core/testing';
import { EntryFleet } from '../EntryFleet.js';

const SEED = 6_005;
const OTHER_TEAM = 'other-desk';
const WITHDRAWN_WITHIN_MS = 3_000;

async function withFleet(run: (fleet: EntryFleet) => Promise<void>): Promise<void> {
  const open = { idempotent: true, access: 'open', openTeamId: 'bench-desk' } as const;
  const fleet = new EntryFleet({
    seed: SEED,
    entries: 2,
    targets: 1,
    slots: 1,
    services: { advice: { idempotent: true }, public: open },
  });
  await fleet.start();
  await run(fleet);
  await fleet.stop();
}

function teamsOf(fleet: EntryFleet, job: string): string[] {
  return fleet.targets.flatMap(({ runs }) =>
    runs.filter((run) => run.job === job).map(({ teamId }) => teamId),
  );
}

describe('Work is accepted only for the team whose key the request carries', () => {
  it('and is refused without a key or with an invalid or foreign one', async (t) => {
    await withFleet(async (fleet) => {
      const [team, keyId, secret] = fleet.teamKey.split('/');
      const refusedAuthorizations = [
        `Bearer ${OTHER_TEAM}/${keyId}/${secret}`,
        `Bearer ${team}/${keyId}/${secret}x`,
        `Bearer ${team}/${keyId}`,
        'Bearer constructor/prototype/x',
        'Bearer',
      ];
      for (const authorization of refusedAuthorizations) {
        const answer = await fleet.send(0, { body: 'job', headers: { authorization } });
        t.same([answer.problem, answer.executed], ['key-not-valid', 'no'], authorization);
      }
      t.equal(fleet.runsOf('job'), 0);
    });
  });

  it('and no header can change the team', async (t) => {
    await withFleet(async (fleet) => {
      await fleet.send(0, { body: 'job', headers: { 'x-team-id': OTHER_TEAM } });
      t.same(teamsOf(fleet, 'job'), ['bench-desk']);
    });
  });

  it('except on a service that is open to all', async (t) => {
    await withFleet(async (fleet) => {
      const headers = { authorization: 'Bearer nobody' };
      const answer = await fleet.send(0, { serviceId: 'public', body: 'job', headers });
      t.equal(answer.statusCode, 200);
      t.same(teamsOf(fleet, 'job'), ['bench-desk']);
    });
  });

  it('and a key that was granted to another team works for that team', async (t) => {
    await withFleet(async (fleet) => {
      const { keyId, key, sha256 } = TeamKey.create(OTHER_TEAM);
      const keys = { [keyId]: { sha256, grantedAtMs: 0 } };
      const value = { share: 1, limit: 5, keys };
      await fleet.patch([{ op: 'add', path: `/teams/${OTHER_TEAM}`, value }]);
      await fleet.send(1, { body: 'job', headers: { authorization: `Bearer ${key}` } });
      t.same(teamsOf(fleet, 'job'), [OTHER_TEAM]);
    });
  });
});

describe('A withdrawn key stops working within seconds', () => {
  it('at every entry, for new requests and for queued ones', async (t) => {
    await withFleet(async (fleet) => {
      fleet.targets.forEach((target) => Object.assign(target, { runMs: () => 400 }));
      const running = fleet.send(0, { body: 'running' });
      await fleet.clock.sleep(100);
      const waiting = fleet.send(1, { body: 'waiting' });
      const [, keyId] = fleet.teamKey.split('/');
      const startMs = fleet.clock.monotonicMs();
      await fleet.patch([{ op: 'remove', path: `/teams/${fleet.teamId}/keys/${keyId}` }]);
      t.ok(fleet.clock.monotonicMs() - startMs < WITHDRAWN_WITHIN_MS);
      const refused = await Promise.all([0, 1].map((index) => fleet.send(index, { body: 'new' })));
      t.same(
        refused.map(({ problem, executed }) => [problem, executed]),
        Array(2).fill(['key-not-valid', 'no']),
      );
      t.equal((await running).statusCode, 200, 'a request that was already running is answered');
      t.same([(await waiting).problem, (await waiting).executed], ['key-not-valid', 'no']);
      t.equal(fleet.runsOf('waiting') + fleet.runsOf('new'), 0);
    });
  });
});
