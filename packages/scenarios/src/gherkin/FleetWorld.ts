/**
 * The shared state of a scenario's steps: entries in this process, targets and stand-ins for the
 * platform's services. Each entry reaches the one log store through a log server of its own, so
 * that a scenario can make the log unavailable to single entries. Nothing runs until `start`.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { SystemClock } from '@acaciadock/core';
import { type PatchOperation, TeamKey } from '@acaciadock/config';
import { Entry, type EntryAddresses, settingsSchema } from '@acaciadock/daemon';
import { CONFIG_STREAM } from '@acaciadock/platform';
import {
  ControlStandIn,
  DirectoryStandIn,
  exampleDocument,
  LogStandIn,
  LogStore,
  TargetStandIn,
  firstPatch,
  loopbackSettings,
} from '@acaciadock/testkit';
import { request } from 'undici';

const SEED = 1;
const POLL_MS = 20;
const SERVICE_ID = 'advice';

export interface RequestAnswer {
  readonly statusCode: number;
  readonly text: string;
}

export interface PatchAnswer {
  readonly statusCode: number;
  readonly body: unknown;
}

export interface FleetSizes {
  readonly entries: number;
  readonly targets: number;
  readonly teamId: string;
  readonly limit: number;
}

export class FleetWorld {
  readonly entries: Entry[] = [];

  readonly logs: LogStandIn[] = [];

  readonly targets: TargetStandIn[] = [];

  private lastPatchAnswers: readonly PatchAnswer[] = [];

  private lastCallerAnswers: readonly RequestAnswer[] = [];

  teamKey = '';

  keyPath = '';

  private readonly clock = new SystemClock();

  private readonly store = new LogStore(this.clock);

  private readonly directory = new DirectoryStandIn(this.clock);

  private readonly control = new ControlStandIn(this.clock);

  private addresses: EntryAddresses[] = [];

  private patchCount = 0;

  async start(sizes: FleetSizes): Promise<void> {
    await Promise.all([this.directory.listen(), this.control.listen()]);
    for (let index = 0; index < sizes.targets; index += 1) await this.addTarget(index);
    this.publishDocument(sizes);
    for (let index = 0; index < sizes.entries; index += 1) await this.addEntry(index);
    await this.waitUntil('every entry to be ready', () =>
      this.entries.every((entry) => this.isReady(entry)),
    );
  }

  async stop(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.stop()));
    const standIns = [...this.targets, ...this.logs, this.directory, this.control];
    await Promise.all(standIns.map((standIn) => standIn.close()));
  }

  /** Answers to the patches of the last step that submitted any. */
  get patchAnswers(): readonly PatchAnswer[] {
    return this.lastPatchAnswers;
  }

  /** Answers to the requests of the last step that sent any. */
  get callerAnswers(): readonly RequestAnswer[] {
    return this.lastCallerAnswers;
  }

  recordPatchAnswers(answers: readonly PatchAnswer[]): void {
    this.lastPatchAnswers = answers;
  }

  recordCallerAnswers(answers: readonly RequestAnswer[]): void {
    this.lastCallerAnswers = answers;
  }

  lowestVersion(): number {
    return Math.min(...this.entries.map((entry) => entry.follower.state().version));
  }

  /** Waits for a condition; throws if it is not met within the timeout. */
  async waitUntil(
    description: string,
    condition: () => boolean | Promise<boolean>,
    timeoutMs = 10_000,
  ): Promise<void> {
    const untilMs = this.clock.monotonicMs() + timeoutMs;
    while (!(await condition())) {
      if (this.clock.monotonicMs() > untilMs)
        throw new Error(`timed out waiting for ${description}`);
      await sleep(POLL_MS);
    }
  }

  /** Sends one request with the team's key through an entry. */
  async call(entryIndex: number, body: unknown): Promise<RequestAnswer> {
    const address = this.addresses[entryIndex]?.callerAddress ?? '';
    const answer = await request(`http://${address}/v1/services/${SERVICE_ID}/requests`, {
      method: 'POST',
      headers: { authorization: `Bearer ${this.teamKey}` },
      body: JSON.stringify(body),
    });
    return { statusCode: answer.statusCode, text: await answer.body.text() };
  }

  /** Submits a patch through an entry, by default based on that entry's current version. */
  async patch(
    entryIndex: number,
    operations: readonly PatchOperation[],
    baseVersion = this.entries[entryIndex]?.follower.state().version ?? 0,
  ): Promise<PatchAnswer> {
    this.patchCount += 1;
    const address = this.addresses[entryIndex]?.operatorAddress ?? '';
    const answer = await request(`http://${address}/v1/config/patches`, {
      method: 'POST',
      body: JSON.stringify({
        kind: 'patch',
        schemaVersion: 1,
        patchId: `scenario-${this.patchCount}`,
        baseVersion,
        author: 'operator',
        submittedAtMs: this.clock.unixMs(),
        operations,
      }),
    });
    return { statusCode: answer.statusCode, body: await answer.body.json() };
  }

  /** Sends a GET request to an entry's operator address and returns the decoded body. */
  async operatorGet(entryIndex: number, path: string): Promise<unknown> {
    const address = this.addresses[entryIndex]?.operatorAddress ?? '';
    const answer = await request(`http://${address}${path}`);
    return answer.body.json();
  }

  private async addTarget(index: number): Promise<void> {
    const target = new TargetStandIn(`t${index + 1}`, this.clock);
    await target.listen();
    this.targets.push(target);
    this.directory.set({ instanceId: target.targetId, role: 'target', state: 'live' });
  }

  private publishDocument({ teamId, limit }: FleetSizes): void {
    const targets = this.targets.map(({ targetId, address }) => ({
      instanceId: targetId,
      address,
    }));
    const document = exampleDocument({ targets, teams: { [teamId]: { share: 1, limit } } });
    const { keyId, key, sha256 } = TeamKey.create(teamId);
    this.teamKey = key;
    this.keyPath = `/teams/${teamId}/keys/${keyId}`;
    const team = document.teams[teamId];
    if (team) team.keys[keyId] = { sha256, grantedAtMs: 0, note: '' };
    this.store.append(CONFIG_STREAM, [firstPatch(document)]);
  }

  /** Whether an entry has a configuration, may start work and sees all the others as live. */
  private isReady({ follower, fence, membership }: Entry): boolean {
    if (follower.state().version === 0 || fence.reason()) return false;
    return membership.liveEntries().length === this.entries.length;
  }

  private async addEntry(index: number): Promise<void> {
    const log = new LogStandIn(this.clock, this.store);
    await log.listen();
    this.logs.push(log);
    const entryId = `e${index + 1}`;
    const settings = settingsSchema.parse(
      loopbackSettings(entryId, { log, directory: this.directory, control: this.control }),
    );
    this.directory.set({ instanceId: entryId, role: 'entry', state: 'live' });
    const entry = new Entry(settings, this.clock, SEED + index);
    this.entries.push(entry);
    this.addresses.push(await entry.start());
  }
}
