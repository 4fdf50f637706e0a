/**
 * A test deployment on loopback addresses: the platform stand-ins and targets run in this process,
 * every entry runs as a child process.
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

export interface ProcessFleetOptions {
  readonly entryCount: number;
  readonly targetCount: number;
  readonly teams: ExampleOptions['teams'];
  readonly services?: ExampleOptions['services'];
}

export interface DecodedAnswer {
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

  /** The key of each team, by team id. */
  readonly keys = new Map<string, string>();

  private constructor(private readonly options: ProcessFleetOptions) {}

  static async start(options: ProcessFleetOptions): Promise<ProcessFleet> {
    const fleet = new ProcessFleet(options);
    await Promise.all([fleet.log.listen(), fleet.directory.listen(), fleet.control.listen()]);
    try {
      await fleet.startTargets();
      fleet.publishDocument(fleet.document());
      await fleet.startEntries();
    } catch (cause) {
      // Whatever has started would keep the test process alive until it times out.
      await fleet.stop();
      throw cause;
    }
    return fleet;
  }

  /** Sends a request with a team's key to an entry and waits for the answer. */
  async send(entryIndex: number, teamId: string, serviceId: string): Promise<DecodedAnswer> {
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

  /** Resolves once the entry answers `/readyz` with 200. */
  async waitUntilReady(entryIndex: number): Promise<void> {
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

  private publishDocument(document: ConfigDocument): void {
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
    await Promise.all(this.entries.map((_, index) => this.waitUntilReady(index)));
  }
}
