/** Starts and stops the processes of the bench: targets, the bare forwarder, and entries. */
import { TeamKey } from '@acaciadock/config';
import { type Clock } from '@acaciadock/core';
import { CONFIG_STREAM } from '@acaciadock/platform';
import {
  ControlStandIn,
  DirectoryStandIn,
  exampleDocument,
  LogStandIn,
  firstPatch,
  loopbackSettings,
} from '@acaciadock/testkit';
import { ForkedRole } from './ForkedRole.js';

const TARGETS = 35;
const TEAM_ID = 'bench-desk';
const TEAM_LIMIT = 10_000;

export class PathFixture {
  teamKey = '';

  private readonly roles: ForkedRole[] = [];

  private readonly log: LogStandIn;

  private readonly directory: DirectoryStandIn;

  private readonly control: ControlStandIn;

  private targetAddresses: readonly string[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly seed: number,
  ) {
    this.log = new LogStandIn(clock);
    this.directory = new DirectoryStandIn(clock);
    this.control = new ControlStandIn(clock);
  }

  async start(): Promise<void> {
    await Promise.all([this.log.listen(), this.directory.listen(), this.control.listen()]);
    const targetIds = Array.from({ length: TARGETS }, (_, index) => `t${index}`);
    const targets = await this.fork('./targetRole.js', { targetIds });
    this.targetAddresses = targets.addresses;
    targetIds.forEach((instanceId) => {
      this.directory.set({ instanceId, role: 'target', state: 'live' });
    });
    this.publish(targetIds);
  }

  startForwarder(): Promise<ForkedRole> {
    return this.fork('./forwarderRole.js', { targetAddresses: this.targetAddresses });
  }

  /** Starts entries, which find each other through the roster. */
  async startEntries(count: number): Promise<readonly ForkedRole[]> {
    const entryIds = Array.from({ length: count }, (_, index) => `n${count}-${index}`);
    const { log, directory, control } = this;
    entryIds.forEach((instanceId) => {
      directory.set({ instanceId, role: 'entry', state: 'live' });
    });
    return Promise.all(
      entryIds.map((entryId, index) =>
        this.fork('./entryRole.js', {
          settings: loopbackSettings(entryId, { log, directory, control }),
          entryCount: count,
          seed: this.seed + index,
        }),
      ),
    );
  }

  async stopRoles(roles: readonly ForkedRole[]): Promise<void> {
    await Promise.all(roles.map((role) => role.stop()));
    roles.forEach((role) => this.roles.splice(this.roles.indexOf(role), 1));
  }

  async stop(): Promise<void> {
    await this.stopRoles([...this.roles]);
    await Promise.all([this.log.close(), this.directory.close(), this.control.close()]);
  }

  private async fork(script: string, options: unknown): Promise<ForkedRole> {
    const role = await ForkedRole.start(script, options);
    this.roles.push(role);
    return role;
  }

  private publish(targetIds: readonly string[]): void {
    const document = exampleDocument({
      targets: targetIds.map((instanceId, index) => ({
        instanceId,
        address: this.targetAddresses[index] ?? '',
      })),
      teams: { [TEAM_ID]: { share: 1, limit: TEAM_LIMIT } },
    });
    const { keyId, key, sha256 } = TeamKey.create(TEAM_ID);
    this.teamKey = key;
    const team = document.teams[TEAM_ID];
    if (team) team.keys[keyId] = { sha256, grantedAtMs: this.clock.unixMs(), note: '' };
    this.log.append(CONFIG_STREAM, [firstPatch(document)]);
  }
}
