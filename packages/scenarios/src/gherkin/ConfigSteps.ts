/** Steps that submit configuration patches and check which version the entries have applied. */
import assert from 'node:assert/strict';
import { type FleetWorld } from './FleetWorld.js';
import { type Step, StepLibrary } from './StepLibrary.js';

const MS_PER_SECOND = 1_000;

export class ConfigSteps extends StepLibrary<FleetWorld> {
  override readonly steps: readonly Step<FleetWorld>[] = [
    {
      pattern: /the operator sets the limit of team "(.+)" to (\d+)/,
      run: async (world, teamId = '', limit = '') => {
        world.recordPatchAnswers([await world.patch(0, [ConfigSteps.limit(teamId, limit)])]);
      },
    },
    {
      pattern: /two operators race to set the limit of team "(.+)" to (\d+) and (\d+)/,
      run: async (world, teamId = '', first = '', second = '') => {
        const base = world.lowestVersion();
        world.recordPatchAnswers(
          await Promise.all([
            world.patch(0, [ConfigSteps.limit(teamId, first)], base),
            world.patch(1, [ConfigSteps.limit(teamId, second)], base),
          ]),
        );
      },
    },
    {
      pattern: /the operator withdraws the team's key/,
      run: async (world) => {
        world.recordPatchAnswers([await world.patch(0, [{ op: 'remove', path: world.keyPath }])]);
      },
    },
    {
      pattern: /the patch is answered with (\d+) "(.+)"/,
      run: (world, statusCode = '', kind = '') => {
        const [answer] = world.patchAnswers;
        assert.equal(answer?.statusCode, Number(statusCode));
        assert.equal((answer?.body as { kind: string }).kind, kind);
      },
    },
    {
      pattern: /one patch is applied and the other is refused, telling what changed/,
      run: (world) => {
        const [applied, refused] = [...world.patchAnswers].sort(
          (a, b) => a.statusCode - b.statusCode,
        );
        assert.equal(applied?.statusCode, 200);
        assert.equal(refused?.statusCode, 409);
        const { changesSince } = refused?.body as { changesSince: { changes: unknown[] } };
        assert.equal(changesSince.changes.length, 1);
      },
    },
    {
      pattern: /version (\d+) is in force at every entry within (\d+) seconds/,
      run: async (world, version = '', seconds = '') => {
        await world.waitUntil(
          `version ${version} at every entry`,
          () => world.lowestVersion() === Number(version),
          Number(seconds) * MS_PER_SECOND,
        );
      },
    },
    {
      pattern: /every entry still has version (\d+)/,
      run: (world, version = '') => {
        const versions = world.entries.map((entry) => entry.follower.state().version);
        assert.deepEqual(new Set(versions), new Set([Number(version)]));
      },
    },
    {
      pattern: /the operator sees version (\d+) in the status of every entry/,
      run: async (world, version = '') => {
        for (const index of world.entries.keys()) {
          const status = await world.operatorGet(index, '/v1/config/status');
          assert.equal((status as { version: number }).version, Number(version));
        }
      },
    },
    {
      pattern: /the history of entry (\d+) since version (\d+) has (\d+) changes?/,
      run: async (world, entry = '', since = '', count = '') => {
        const path = `/v1/config/history?since=${since}`;
        const history = await world.operatorGet(Number(entry) - 1, path);
        assert.equal((history as { changes: unknown[] }).changes.length, Number(count));
      },
    },
  ];

  /** The patch operation that sets the limit of a team. */
  private static limit(teamId: string, limit: string) {
    return { op: 'replace', path: `/teams/${teamId}/limit`, value: Number(limit) } as const;
  }
}
