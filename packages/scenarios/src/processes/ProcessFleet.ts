/**
 * A whole deployment for tests: the stand-ins and targets in this process, every entry as a
 * process of its own, all on loopback.
 */
import { SystemClock } from '@acaciadock/core';
import { freeAddresses } from '@acaciadock/core/testing/addresses';
import { type ConfigDocument, TeamKey } from '@acaciadock/config';
import { CONFIG_STREAM } from '@acaciadock/platform';
import {
  ControlStandIn,
  DirectoryStandIn,
  exampleDocument,
  type ExampleOptions,
  LogStandIn,
  TargetStandIn,
  firstPatch,
} from '@acaciadock/testkit';
import { request } from 'undici';
import { EntryProcess } from './EntryProcess.js';

const READY_POLL_MS = 20;

export interface FleetOptions {
  readonly entryCount: number;
  readonly targetCount: number;
  readonly teams: ExampleOptions['teams'];
  readonly services?: ExampleOptions['services'];
}

export interface CallerAnswer {
  readonly statusCode: number;
  readonly requestId: string;
  readonly body: unknown;
}

export class ProcessFleet {
  readonly clock = new SystemClock();

  readonly log = new LogStandIn(this.clock);

  readonly directory = new DirectoryStandIn(this.clock);

  readonly control = new ControlStandIn(this.clock);

  readonly targets: TargetStandIn[] = [];

  readonly entries: EntryProcess[] = [];

  /** A key of each team. */
  readonly keys = new Map<string, string>();

  private constructor(private readonly options: FleetOptions) {}

  static async start(options: FleetOptions): Promise<ProcessFleet> {
    const fleet = new ProcessFleet(options);
    await Promise.all([fleet.log.listen(), fleet.directory.listen(), fleet.control.listen()]);
    try {
      await fleet.startTargets();
      fleet.publish(fleet.document());
      await fleet.startEntries();
    } catch (cause) {
      // What did start would keep the test's process alive until its time-out.
      await fleet.stop();
      throw cause;
    }
    return fleet;
  }

  /** Sends a request of a team to an entry and waits for its end. */
  async send(entryIndex: number, teamId: string, serviceId: string): Promise<CallerAnswer> {
    const address = this.entries[entryIndex]?.settings.callerAddress ?? '';
    const answer = await request(`http://${address}/v1/services/${serviceId}/requests`, {
      method: 'POST',
      headers: { authorization: `Bearer ${this.keys.get(teamId)}` },
      body: '{}',
    });
    return {
      statusCode: answer.statusCode,
      requestId: String(answer.headers['x-request-id']),
      body: await answer.body.json(),
    };
  }

  /** Resolves when the entry says that it is ready. */
  async untilReady(entryIndex: number): Promise<void> {
    const address = this.entries[entryIndex]?.settings.callerAddress ?? '';
    for (;;) {
      const answer = await request(`http://${address}/readyz`).catch(() => undefined);
      await answer?.body.dump();
      if (answer?.statusCode === 200) return;
      await this.clock.sleep(READY_POLL_MS);
    }
  }

  async stop(): Promise<void> {
    this.entries.forEach((entry) => entry.thaw());
    await Promise.all(this.entries.map((entry) => entry.kill()));
    await Promise.all(this.targets.map((target) => target.close()));
    await Promise.all([this.log.close(), this.directory.close(), this.control.close()]);
  }

  private async startTargets(): Promise<void> {
    for (let index = 0; index < this.options.targetCount; index += 1) {
      const target = new TargetStandIn(`t${index}`, this.clock);
      await target.listen();
      this.targets.push(target);
      this.directory.set({ instanceId: target.targetId, role: 'target', state: 'live' });
    }
  }

  private document(): ConfigDocument {
    const { teams, services } = this.options;
    const targets = this.targets.map(({ targetId, address }) => ({
      instanceId: targetId,
      address,
    }));
    const document = exampleDocument({ targets, teams, ...(services ? { services } : {}) });
    Object.entries(document.teams).forEach(([teamId, team]) => {
      const { keyId, key, sha256 } = TeamKey.create(teamId);
      this.keys.set(teamId, key);
      Object.assign(team.keys, { [keyId]: { sha256, grantedAtMs: 0, note: '' } });
    });
    return document;
  }

  private publish(document: ConfigDocument): void {
    this.log.append(CONFIG_STREAM, [firstPatch(document)]);
  }

  private async startEntries(): Promise<void> {
    const entryIds = Array.from({ length: this.options.entryCount }, (_, index) => `e${index}`);
    const addresses = await freeAddresses(entryIds.length);
    const peers = entryIds.map((entryId, index) => ({ entryId, address: addresses[index] ?? '' }));
    for (const { entryId, address } of peers) {
      const [callerAddress = '', operatorAddress = ''] = await freeAddresses(2);
      this.directory.set({ instanceId: entryId, role: 'entry', state: 'live' });
      const entry = await EntryProcess.start({
        schemaVersion: 1,
        entryId,
        zoneId: 'zone-a',
        callerAddress,
        operatorAddress,
        peerAddress: address,
        platform: {
          logUrl: `http://${this.log.address}`,
          directoryUrl: `http://${this.directory.address}`,
          controlUrl: `http://${this.control.address}`,
        },
        peers,
      });
      this.entries.push(entry);
    }
    await Promise.all(this.entries.map((_, index) => this.untilReady(index)));
  }
}
