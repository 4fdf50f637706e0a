/** The processes of the bench: targets, the bare forwarder, and one and three entries. */
import { TeamKey } from '@acaciadock/config';
import { type Clock } from '@acaciadock/core';
import { CONFIG_STREAM } from '@acaciadock/platform';
import {
  ControlStandIn,
  DirectoryStandIn,
  exampleDocument,
  LogStandIn,
  firstPatch,
} from '@acaciadock/testkit';
import { ForkedRole } from './ForkedRole.js';

const TARGETS = 35;
const TEAM_ID = 'bench-desk';
const TEAM_LIMIT = 10_000;
const LOOPBACK = '127.0.0.1';
const FIRST_PEER_PORT = 39_100;

export class PathRig {
  teamKey = '';

  private readonly roles: ForkedRole[] = [];

  private readonly log: LogStandIn;

  private readonly directory: DirectoryStandIn;

  private readonly control: ControlStandIn;

  private targetAddresses: readonly string[] = [];

  private nextPort = FIRST_PEER_PORT;

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

  /** Starts entries that know each other. */
  async startEntries(count: number): Promise<readonly ForkedRole[]> {
    const peers = Array.from({ length: count }, (_, index) => {
      this.nextPort += 1;
      const entryId = `n${count}-${index}`;
      this.directory.set({ instanceId: entryId, role: 'entry', state: 'live' });
      return { entryId, address: `${LOOPBACK}:${this.nextPort}` };
    });
    return Promise.all(
      peers.map(({ entryId, address }, index) =>
        this.fork('./entryRole.js', {
          settings: this.settings(entryId, address, peers),
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

  private settings(entryId: string, peerAddress: string, peers: readonly unknown[]): unknown {
    return {
      schemaVersion: 1,
      entryId,
      zoneId: 'zone-a',
      callerAddress: `${LOOPBACK}:0`,
      operatorAddress: `${LOOPBACK}:0`,
      peerAddress,
      platform: {
        logUrl: `http://${this.log.address}`,
        directoryUrl: `http://${this.directory.address}`,
        controlUrl: `http://${this.control.address}`,
      },
      peers,
    };
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
