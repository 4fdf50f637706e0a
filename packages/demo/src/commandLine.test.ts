/** Tests the command line against running entries: everyday commands, refusals and exit codes. */
import { describe, it } from '@acaciadock/core/testing';
import { ExitCode } from '@acaciadock/cli';
import { DemoFleet } from './DemoFleet.js';
import { type CommandRun, runOperatorCommand } from './runOperatorCommand.js';

const SEED = 7;

const run = (url: string, args: readonly string[]): Promise<CommandRun> =>
  runOperatorCommand(url, args, 'tester');

async function withFleet(body: (url: string, fleet: DemoFleet) => Promise<void>): Promise<void> {
  const fleet = new DemoFleet();
  await fleet.start(SEED);
  try {
    await body(`http://${fleet.addresses[0]?.operatorAddress}`, fleet);
  } finally {
    await fleet.stop();
  }
}

describe('acaciadock', () => {
  it('changes a team and returns the version in force', async (t) => {
    await withFleet(async (url, fleet) => {
      const set = await run(url, ['--json', 'team', 'set', fleet.teamId, 'limit=11']);
      t.equal(set.exitCode, ExitCode.done, set.errors);
      const { version } = JSON.parse(set.output) as { version: number };
      const got = await run(url, ['--json', 'config', 'get']);
      t.match(JSON.parse(got.output), {
        version,
        document: { teams: { [fleet.teamId]: { limit: 11 } } },
      });
      const listed = await run(url, ['team', 'list']);
      t.match(listed.output, new RegExp(`${fleet.teamId}\\s+1\\s+11`));
    });
  });

  it('lists the changes since the base version when a patch is stale', async (t) => {
    await withFleet(async (url, fleet) => {
      await run(url, ['team', 'set', fleet.teamId, 'limit=11']);
      const stale = await run(url, [
        '--base-version',
        '1',
        'team',
        'set',
        fleet.teamId,
        'limit=12',
      ]);
      t.equal(stale.exitCode, ExitCode.refused);
      t.match(stale.errors, /version 1 is stale/);
      t.match(stale.errors, new RegExp(`by tester: add /teams/${fleet.teamId}/limit`));
    });
  });

  it('points to the field whose value is invalid', async (t) => {
    await withFleet(async (url, fleet) => {
      const refused = await run(url, ['team', 'set', fleet.teamId, 'limit=-1']);
      t.equal(refused.exitCode, ExitCode.refused);
      t.match(refused.errors, new RegExp(`/teams/${fleet.teamId}/limit`));
    });
  });

  it('prints a granted key once and stores only its hash', async (t) => {
    await withFleet(async (url, fleet) => {
      const granted = await run(url, ['key', 'grant', fleet.teamId, '--note', 'van 3']);
      t.equal(granted.exitCode, ExitCode.done, granted.errors);
      const document = await run(url, ['config', 'get']);
      t.notMatch(document.output, granted.output.split('/').pop() ?? '');
      t.match(document.output, /van 3/);
    });
  });

  it('applies a patch only once when it is repeated under its id', async (t) => {
    await withFleet(async (url, fleet) => {
      const args = ['--json', '--patch-id', 'p-1', 'team', 'set', fleet.teamId, 'limit=9'];
      const first = await run(url, args);
      const second = await run(url, args);
      t.equal(second.exitCode, ExitCode.done, second.errors);
      t.same(JSON.parse(second.output), JSON.parse(first.output));
    });
  });

  describe('exit codes', () => {
    it('returns usage for an unknown command', async (t) => {
      t.equal((await run('http://127.0.0.1:9', ['nonsense'])).exitCode, ExitCode.usage);
    });

    it('returns unreachable when no entry answers', async (t) => {
      t.equal((await run('http://127.0.0.1:9', ['config', 'get'])).exitCode, ExitCode.unreachable);
    });
  });
});
