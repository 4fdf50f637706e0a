/**
 * Runs eight configuration followers in one process, which read one log over HTTP as entries do,
 * and submits changes at up to a given rate. Measures the time from the submission of a change until the
 * version is in force at the last of the eight.
 */
import { performance } from 'node:perf_hooks';
import { type Clock, Random, SystemClock } from '@acaciadock/core';
import { type PatchOperation, TeamKey } from '@acaciadock/config';
import { patchRecord, smallDocument } from '@acaciadock/config/testing';
import { HttpLogService, HttpPlatformClient } from '@acaciadock/platform';
import { ConfigFollower, PatchSubmitter } from '@acaciadock/replication';
import { LogStandIn } from '@acaciadock/testkit';

const ENTRIES = 8;
const SEED = 1;
const MS_PER_SECOND = 1_000;
const TEAM_ID = 'desk';

export interface ChangeRate {
  readonly perSecond: number;
  readonly changes: number;
}

export class ConfigFleet {
  private readonly log: LogStandIn;

  private readonly clients: HttpPlatformClient[] = [];

  private readonly followers: ConfigFollower[] = [];

  private readonly submitters: PatchSubmitter[] = [];

  private nextPatch = 0;

  private constructor(private readonly clock: Clock) {
    this.log = new LogStandIn(clock);
  }

  static async start(): Promise<ConfigFleet> {
    const fleet = new ConfigFleet(new SystemClock());
    await fleet.log.listen();
    for (let index = 0; index < ENTRIES; index += 1) fleet.addEntry(index);
    while (fleet.followers.some((follower) => !follower.isCaughtUp)) await fleet.clock.sleep(1);
    return fleet;
  }

  async stop(): Promise<void> {
    [...this.submitters, ...this.followers].forEach((part) => part.dispose());
    await Promise.all(this.clients.map((client) => client.close()));
    await this.log.close();
  }

  /** Milliseconds from the submission of each change until it is in force at all entries. */
  changes(rate: ChangeRate): Promise<number[]> {
    return this.runAtRate(rate, (index) => {
      const operation = { op: 'replace', path: `/teams/${TEAM_ID}/limit`, value: index } as const;
      return this.measureChange(operation, () => true);
    });
  }

  /** Milliseconds from the withdrawal of each key until all entries refuse it. */
  async measureKeyWithdrawals(rate: ChangeRate): Promise<number[]> {
    const keys = Array.from({ length: rate.changes }, () => TeamKey.create(TEAM_ID));
    for (const { keyId, sha256 } of keys) {
      const path = `/teams/${TEAM_ID}/keys/${keyId}`;
      const value = { sha256, grantedAtMs: 0 };
      await this.measureChange({ op: 'add', path, value }, () => true);
    }
    return this.runAtRate(rate, (index) => {
      const { keyId = '', key = '' } = keys[index] ?? {};
      const operation = { op: 'remove', path: `/teams/${TEAM_ID}/keys/${keyId}` } as const;
      return this.measureChange(
        operation,
        (follower) => TeamKey.holder(follower.state().document, key) === undefined,
      );
    });
  }

  private addEntry(index: number): void {
    const client = new HttpPlatformClient(`http://${this.log.address}`);
    const service = new HttpLogService(client);
    const random = new Random(SEED + index);
    const follower = new ConfigFollower(service, this.clock, random, smallDocument());
    this.clients.push(client);
    this.followers.push(follower);
    this.submitters.push(new PatchSubmitter(service, follower, this.clock));
    void follower.run();
  }

  /**
   * Makes changes one after the other, at `perSecond` or, if a change takes longer than that to be in
   * force everywhere, as fast as they come into force.
   */
  private async runAtRate(
    { perSecond, changes }: ChangeRate,
    change: (index: number) => Promise<number>,
  ): Promise<number[]> {
    const durationsMs: number[] = [];
    const startMs = performance.now();
    for (let index = 0; index < changes; index += 1) {
      const dueMs = startMs + (index * MS_PER_SECOND) / perSecond;
      await this.clock.sleep(Math.max(0, dueMs - performance.now()));
      durationsMs.push(await change(index));
    }
    return durationsMs;
  }

  /**
   * Submits a change through the next entry, round robin, and waits until it is in force at all of
   * them. Returns the milliseconds since the submission.
   */
  private async measureChange(
    operation: PatchOperation,
    isInForce: (follower: ConfigFollower) => boolean,
  ): Promise<number> {
    const index = this.nextPatch % ENTRIES;
    this.nextPatch += 1;
    const submitter = this.submitters[index];
    const base = this.followers[index]?.state().version ?? 0;
    const startMs = performance.now();
    const inForce = Promise.all(
      this.followers.map((follower) => ConfigFleet.awaitInForce(follower, base + 1, isInForce)),
    );
    const record = patchRecord(`p${this.nextPatch}`, base, [operation]);
    const outcome = await submitter?.submit(record);
    if (outcome?.kind !== 'settled' || outcome.verdict.kind !== 'applied') {
      throw new Error('the configuration change was not applied', { cause: outcome });
    }
    const inForceAtMs = await inForce;
    return Math.max(...inForceAtMs) - startMs;
  }

  /** Resolves with the time at which the version came into force at a follower. */
  private static awaitInForce(
    follower: ConfigFollower,
    version: number,
    isInForce: (follower: ConfigFollower) => boolean,
  ): Promise<number> {
    return new Promise((resolve) => {
      const subscription = follower.onChange((state) => {
        if (state.version < version || !isInForce(follower)) return;
        subscription.dispose();
        resolve(performance.now());
      });
    });
  }
}
