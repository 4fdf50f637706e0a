/**
 * A day of an operator in a minute: requests of both classes, a key granted and withdrawn, a limit
 * changed, an instance drained, returned and moved, and the burn report, all through the same
 * interfaces that users have.
 */
import { type Clock } from '@acaciadock/core';
import { ExitCode } from '@acaciadock/cli';
import { request } from 'undici';
import { type DemoFleet } from './DemoFleet.js';
import { DemoStepFailed } from './DemoStepFailed.js';
import { runOperatorCommand } from './runOperatorCommand.js';

const REQUESTS = 200;
const POLL_MS = 100;
const STATE_TIMEOUT_MS = 30_000;
const DRAINED_INSTANCE = 't0';
const MOVED_INSTANCE = 't8';
const MOVED_TO_POOL = 'main';

interface ListedInstance {
  readonly instanceId: string;
  readonly poolId: string;
  readonly state: string;
}

export class DemoWalk {
  constructor(
    private readonly fleet: DemoFleet,
    private readonly clock: Clock,
    private readonly print: (text: string) => void,
  ) {}

  /** Walks all steps; throws `DemoStepFailed` at the first that fails. */
  async run(): Promise<void> {
    await this.requests();
    await this.keys();
    await this.patch();
    await this.drainAndReturn();
    await this.move();
    await this.report();
  }

  private async requests(): Promise<void> {
    const codes = await Promise.all(
      Array.from({ length: REQUESTS }, (_, index) => this.send(index, this.fleet.teamKey)),
    );
    const answered = codes.filter((code) => code === 200).length;
    this.tell('requests', { sent: REQUESTS, answered });
    if (answered !== REQUESTS) throw new DemoStepFailed('requests', codes);
  }

  private async keys(): Promise<void> {
    const { teamId } = this.fleet;
    const granted = await this.command('key', 'grant', teamId, '--note', 'demo');
    const { key, keyId } = granted as { key: string; keyId: string };
    await this.untilAnswered('key-granted', key, 200);
    await this.command('key', 'withdraw', teamId, keyId);
    await this.untilAnswered('key-withdrawn', key, 401);
  }

  private async patch(): Promise<void> {
    const patched = await this.command('team', 'set', this.fleet.teamId, 'limit=50');
    this.tell('patched', { patched });
  }

  private async drainAndReturn(): Promise<void> {
    await this.command('instance', 'drain', DRAINED_INSTANCE);
    await this.untilInstance('draining', DRAINED_INSTANCE, ({ state }) => state !== 'serving');
    await this.command('instance', 'return', DRAINED_INSTANCE);
    await this.untilInstance('returned', DRAINED_INSTANCE, ({ state }) => state === 'serving');
  }

  private async move(): Promise<void> {
    await this.command('instance', 'move', MOVED_INSTANCE, MOVED_TO_POOL);
    await this.untilInstance(
      'moved',
      MOVED_INSTANCE,
      ({ poolId, state }) => poolId === MOVED_TO_POOL && state === 'serving',
    );
  }

  private async report(): Promise<void> {
    const report = (await this.command('report', 'burn')) as {
      services: { windows: { total: number; bad: number }[] }[];
    };
    const [window] = report.services[0]?.windows ?? [];
    this.tell('burn', window ?? {});
    if (!window || window.total === 0) throw new DemoStepFailed('burn', report);
    this.print(await this.commandText('report', 'burn'));
  }

  private tell(event: string, detail: object): void {
    this.print(JSON.stringify({ event, ...detail }));
  }

  private async send(index: number, key: string): Promise<number> {
    const { addresses, serviceId } = this.fleet;
    const address = addresses[index % addresses.length]?.callerAddress ?? '';
    const answer = await request(`http://${address}/v1/services/${serviceId}/requests`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        'x-urgency': index % 2 === 0 ? 'urgent' : 'background',
      },
      body: JSON.stringify({ joint: index }),
    });
    await answer.body.dump();
    return answer.statusCode;
  }

  /** Waits until every entry answers requests of a key with this status. */
  private async untilAnswered(step: string, key: string, statusCode: number): Promise<void> {
    const startMs = this.clock.monotonicMs();
    let codes: number[] = [];
    while (this.clock.monotonicMs() - startMs < STATE_TIMEOUT_MS) {
      codes = await Promise.all(this.fleet.addresses.map((_, index) => this.send(index, key)));
      if (codes.every((code) => code === statusCode)) {
        this.tell(step, { everywhereAfterMs: Math.round(this.clock.monotonicMs() - startMs) });
        return;
      }
      await this.clock.sleep(POLL_MS);
    }
    throw new DemoStepFailed(step, codes);
  }

  private async untilInstance(
    step: string,
    instanceId: string,
    holds: (instance: ListedInstance) => boolean,
  ): Promise<void> {
    const untilMs = this.clock.monotonicMs() + STATE_TIMEOUT_MS;
    let found: ListedInstance | undefined;
    while (this.clock.monotonicMs() < untilMs) {
      const listed = (await this.command('instance', 'list')) as ListedInstance[];
      found = listed.find((instance) => instance.instanceId === instanceId);
      if (found && holds(found)) {
        this.tell(step, found);
        return;
      }
      await this.clock.sleep(POLL_MS);
    }
    throw new DemoStepFailed(step, found);
  }

  private async command(...words: string[]): Promise<unknown> {
    return JSON.parse(await this.commandText('--json', ...words));
  }

  private async commandText(...words: string[]): Promise<string> {
    const url = `http://${this.fleet.addresses[0]?.operatorAddress}`;
    const { exitCode, output, errors } = await runOperatorCommand(url, words);
    if (exitCode !== ExitCode.done) throw new DemoStepFailed(words.join(' '), errors);
    return output;
  }
}
