/** Runs eight real entries in one process on loopback; measures how fast a team fills its limit. */
import { type Clock, SystemClock } from '@acaciadock/core';
import { TeamKey } from '@acaciadock/config';
import { Entry, settingsSchema } from '@acaciadock/daemon';
import { CONFIG_STREAM } from '@acaciadock/platform';
import {
  ControlStandIn,
  DirectoryStandIn,
  exampleDocument,
  LogStandIn,
  TargetStandIn,
  firstPatch,
  loopbackSettings,
} from '@acaciadock/testkit';
import { Pool } from 'undici';

const ENTRIES = 8;
const TARGETS = 10;
const LIMIT = 64;
const REQUESTS = 76;
const RUN_MS = 4_000;
const WITHIN_MS = 1_000;
const POLL_MS = 10;
const TEAM_ID = 'bench-desk';

export interface LoopbackFleetFindings {
  readonly reachedRatio: number;
  readonly peakRunning: number;
  readonly limit: number;
}

export class LoopbackFleet {
  private readonly clock: Clock = new SystemClock();

  private readonly log = new LogStandIn(this.clock);

  private readonly directory = new DirectoryStandIn(this.clock);

  private readonly control = new ControlStandIn(this.clock);

  private readonly targets: TargetStandIn[] = [];

  private readonly entries: Entry[] = [];

  async measure(seed: number): Promise<LoopbackFleetFindings> {
    await Promise.all([this.log.listen(), this.directory.listen(), this.control.listen()]);
    await this.startTargets();
    const key = this.publish();
    const callerAddress = await this.startEntries(seed);
    const findings = await this.sendBurst(callerAddress, key);
    await Promise.all(this.entries.map((entry) => entry.stop()));
    await Promise.all(this.targets.map((target) => target.close()));
    await Promise.all([this.log.close(), this.directory.close(), this.control.close()]);
    return findings;
  }

  /** Sends more requests at once than the limit allows, and observes how many run at a time. */
  private async sendBurst(callerAddress: string, key: string): Promise<LoopbackFleetFindings> {
    const caller = new Pool(`http://${callerAddress}`, { connections: REQUESTS });
    const sends = Array.from({ length: REQUESTS }, async (_, index) => {
      const answer = await caller.request({
        method: 'POST',
        path: '/v1/services/advice/requests',
        headers: { authorization: `Bearer ${key}` },
        body: String(index),
      });
      await answer.body.dump();
    });
    const untilMs = this.clock.monotonicMs() + WITHIN_MS;
    let peakInTime = 0;
    while (this.clock.monotonicMs() < untilMs) {
      peakInTime = Math.max(peakInTime, this.running());
      await this.clock.sleep(POLL_MS);
    }
    let peakRunning = peakInTime;
    const allAnswered = Promise.all(sends).then(() => true);
    while (!(await Promise.race([allAnswered, this.clock.sleep(POLL_MS).then(() => false)]))) {
      peakRunning = Math.max(peakRunning, this.running());
    }
    await caller.destroy();
    return { reachedRatio: peakInTime / LIMIT, peakRunning, limit: LIMIT };
  }

  private running(): number {
    return this.targets.reduce((sum, target) => sum + target.running, 0);
  }

  private async startTargets(): Promise<void> {
    for (let index = 0; index < TARGETS; index += 1) {
      const target = new TargetStandIn(`t${index}`, this.clock);
      target.runMs = () => RUN_MS;
      await target.listen();
      this.targets.push(target);
      this.directory.set({ instanceId: target.targetId, role: 'target', state: 'live' });
    }
  }

  private publish(): string {
    const targets = this.targets.map(({ targetId, address }) => ({
      instanceId: targetId,
      address,
    }));
    const document = exampleDocument({ targets, teams: { [TEAM_ID]: { share: 1, limit: LIMIT } } });
    const { keyId, key, sha256 } = TeamKey.create(TEAM_ID);
    const team = document.teams[TEAM_ID];
    if (team) team.keys[keyId] = { sha256, grantedAtMs: this.clock.unixMs(), note: '' };
    this.log.append(CONFIG_STREAM, [firstPatch(document)]);
    return key;
  }

  /** Starts the entries; returns the address for callers of the last one when all are ready. */
  private async startEntries(seed: number): Promise<string> {
    let callerAddress = '';
    for (let index = 0; index < ENTRIES; index += 1) {
      const entryId = `e${index}`;
      this.directory.set({ instanceId: entryId, role: 'entry', state: 'live' });
      const settings = settingsSchema.parse(
        loopbackSettings(entryId, {
          log: this.log,
          directory: this.directory,
          control: this.control,
        }),
      );
      const entry = new Entry(settings, this.clock, seed + index);
      this.entries.push(entry);
      callerAddress = (await entry.start()).callerAddress;
    }
    while (!this.entries.every((entry) => LoopbackFleet.isReady(entry))) {
      await this.clock.sleep(POLL_MS);
    }
    return callerAddress;
  }

  private static isReady({ follower, fence, membership, credits }: Entry): boolean {
    if (follower.state().version === 0 || fence.reason()) return false;
    const held = credits.credits().find(({ teamId }) => teamId === TEAM_ID);
    return membership.liveEntries().length === ENTRIES && held !== undefined;
  }
}
