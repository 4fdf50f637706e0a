/**
 * Walks through an operator's usual tasks: sends urgent and background requests, grants and
 * withdraws a key, changes a limit, drains, returns and moves an instance, and prints the burn
 * report. It uses only the interfaces that callers and operators have.
 */
import { type Clock } from '@acaciadock/core';
import { ExitCode } from '@acaciadock/cli';
import { request } from 'undici';
import { type DemoFleet } from './DemoFleet.js';
import { DemoStepError } from './DemoStepError.js';
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

export class DemoWalkthrough {
  constructor(
    private readonly fleet: DemoFleet,
    private readonly clock: Clock,
    private readonly print: (text: string) => void,
  ) {}

  /** Runs all steps in order; throws `DemoStepError` at the first that fails. */
  async run(): Promise<void> {
    await this.requests();
    await this.keys();
    await this.patch();
    await this.drainAndReturn();
    await this.move();
    await this.report();
  }

  /** Sends requests of both urgencies; all of them must be answered. */
  private async requests(): Promise<void> {
    const codes = await Promise.all(
      Array.from({ length: REQUESTS }, (_, index) => this.send(index, this.fleet.teamKey)),
    );
    const answered = codes.filter((code) => code === 200).length;
    this.printEvent('requests', { sent: REQUESTS, answered });
    if (answered !== REQUESTS) throw new DemoStepError('requests', codes);
  }

  /** Grants a key and withdraws it; both must take effect at every entry. */
  private async keys(): Promise<void> {
    const { teamId } = this.fleet;
    const granted = await this.command('key', 'grant', teamId, '--note', 'demo');
    const { key, keyId } = granted as { key: string; keyId: string };
    await this.waitUntilAnswered('key-granted', key, 200);
    await this.command('key', 'withdraw', teamId, keyId);
    await this.waitUntilAnswered('key-withdrawn', key, 401);
  }

  /** Changes the team's limit. */
  private async patch(): Promise<void> {
    const patched = await this.command('team', 'set', this.fleet.teamId, 'limit=50');
    this.printEvent('patched', { patched });
  }

  private async drainAndReturn(): Promise<void> {
    await this.command('instance', 'drain', DRAINED_INSTANCE);
    await this.waitForInstance('draining', DRAINED_INSTANCE, ({ state }) => state !== 'serving');
    await this.command('instance', 'return', DRAINED_INSTANCE);
    await this.waitForInstance('returned', DRAINED_INSTANCE, ({ state }) => state === 'serving');
  }

  /** Moves a spare instance to the service pool. */
  private async move(): Promise<void> {
    await this.command('instance', 'move', MOVED_INSTANCE, MOVED_TO_POOL);
    await this.waitForInstance(
      'moved',
      MOVED_INSTANCE,
      ({ poolId, state }) => poolId === MOVED_TO_POOL && state === 'serving',
    );
  }

  /** Prints the burn report, which must contain the requests sent before. */
  private async report(): Promise<void> {
    const report = (await this.command('report', 'burn')) as {
      services: { windows: { total: number; bad: number }[] }[];
    };
    const [window] = report.services[0]?.windows ?? [];
    this.printEvent('burn', window ?? {});
    if (!window || window.total === 0) throw new DemoStepError('burn', report);
    this.print(await this.commandOutput('report', 'burn'));
  }

  private printEvent(event: string, detail: object): void {
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

  /** Waits until every entry answers requests with this key by the given status. */
  private async waitUntilAnswered(step: string, key: string, statusCode: number): Promise<void> {
    const startMs = this.clock.monotonicMs();
    let codes: number[] = [];
    while (this.clock.monotonicMs() - startMs < STATE_TIMEOUT_MS) {
      codes = await Promise.all(this.fleet.addresses.map((_, index) => this.send(index, key)));
      if (codes.every((code) => code === statusCode)) {
        this.printEvent(step, {
          everywhereAfterMs: Math.round(this.clock.monotonicMs() - startMs),
        });
        return;
      }
      await this.clock.sleep(POLL_MS);
    }
    throw new DemoStepError(step, codes);
  }

  /** Polls the list of instances until the instance meets the condition. */
  private async waitForInstance(
    step: string,
    instanceId: string,
    isReached: (instance: ListedInstance) => boolean,
  ): Promise<void> {
    const untilMs = this.clock.monotonicMs() + STATE_TIMEOUT_MS;
    let found: ListedInstance | undefined;
    while (this.clock.monotonicMs() < untilMs) {
      const listed = (await this.command('instance', 'list')) as ListedInstance[];
      found = listed.find((instance) => instance.instanceId === instanceId);
      if (found && isReached(found)) {
        this.printEvent(step, found);
        return;
      }
      await this.clock.sleep(POLL_MS);
    }
    throw new DemoStepError(step, found);
  }

  /** Runs an operator command with `--json` and returns the parsed output. */
  private async command(...args: string[]): Promise<unknown> {
    return JSON.parse(await this.commandOutput('--json', ...args));
  }

  /** Runs an operator command against the first entry and returns its output. */
  private async commandOutput(...args: string[]): Promise<string> {
    const url = `http://${this.fleet.addresses[0]?.operatorAddress}`;
    const { exitCode, output, errors } = await runOperatorCommand(url, args);
    if (exitCode !== ExitCode.done) throw new DemoStepError(args.join(' '), errors);
    return output;
  }
}
