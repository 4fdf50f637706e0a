/** Runs three entries, ten targets and stand-ins for the platform services in one process. */
import { type Clock, SystemClock } from '@acaciadock/core';
import { TeamKey } from '@acaciadock/config';
import { Entry, type EntryAddresses, settingsSchema } from '@acaciadock/daemon';
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

const ENTRY_COUNT = 3;
const TARGET_COUNT = 8;
const SPARE_COUNT = 2;
const TEAM_ID = 'bench-desk';
const SERVICE_ID = 'advice';
const READY_POLL_MS = 10;

export class DemoFleet {
  readonly log: LogStandIn;

  readonly directory: DirectoryStandIn;

  readonly control: ControlStandIn;

  readonly targets: TargetStandIn[] = [];

  readonly entries: Entry[] = [];

  readonly addresses: EntryAddresses[] = [];

  readonly serviceId = SERVICE_ID;

  readonly teamId = TEAM_ID;

  teamKey = '';

  constructor(private readonly clock: Clock = new SystemClock()) {
    this.log = new LogStandIn(clock);
    this.directory = new DirectoryStandIn(clock);
    this.control = new ControlStandIn(clock);
  }

  async start(seed: number): Promise<void> {
    await Promise.all([this.log.listen(), this.directory.listen(), this.control.listen()]);
    await this.startTargets();
    this.publishDocument();
    await this.startEntries(seed);
  }

  async stop(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.stop()));
    await Promise.all(this.targets.map((target) => target.close()));
    await Promise.all([this.log.close(), this.directory.close(), this.control.close()]);
  }

  private async startTargets(): Promise<void> {
    for (let index = 0; index < TARGET_COUNT + SPARE_COUNT; index += 1) {
      const target = new TargetStandIn(`t${index}`, this.clock);
      await target.listen();
      this.targets.push(target);
      this.directory.set({ instanceId: target.targetId, role: 'target', state: 'live' });
    }
  }

  private publishDocument(): void {
    const listed = this.targets.map(({ targetId, address }) => ({ instanceId: targetId, address }));
    const document = exampleDocument({
      targets: listed.slice(0, TARGET_COUNT),
      spares: listed.slice(TARGET_COUNT),
      teams: { [TEAM_ID]: { share: 1, limit: 60 } },
    });
    const { keyId, key, sha256 } = TeamKey.create(TEAM_ID);
    this.teamKey = key;
    const team = document.teams[TEAM_ID];
    if (team) team.keys[keyId] = { sha256, grantedAtMs: this.clock.unixMs(), note: 'demo' };
    this.log.append(CONFIG_STREAM, [firstPatch(document)]);
  }

  private async startEntries(seed: number): Promise<void> {
    const entryIds = Array.from({ length: ENTRY_COUNT }, (_, index) => `e${index}`);
    for (const [index, entryId] of entryIds.entries()) {
      const settings = settingsSchema.parse(loopbackSettings(entryId, this));
      this.directory.set({ instanceId: entryId, role: 'entry', state: 'live' });
      const entry = new Entry(settings, this.clock, seed + index);
      this.entries.push(entry);
      this.addresses.push(await entry.start());
    }
    await this.waitUntilReady();
  }

  /** Waits until every entry has a configuration, is not fenced and sees all the others as live. */
  private async waitUntilReady(): Promise<void> {
    while (this.entries.some((entry) => !DemoFleet.isReady(entry))) {
      await this.clock.sleep(READY_POLL_MS);
    }
  }

  private static isReady({ follower, fence, membership }: Entry): boolean {
    if (follower.state().version === 0 || fence.reason()) return false;
    return membership.liveEntries().length === ENTRY_COUNT;
  }
}
