/** Measures how long a new entry takes to catch up with a log that it reads over HTTP. */
import { performance } from 'node:perf_hooks';
import { Random, SystemClock } from '@acaciadock/core';
import { type ConfigDocument, ConfigReducer } from '@acaciadock/config';
import { limitPatch, smallDocument } from '@acaciadock/config/testing';
import { CONFIG_STREAM, HttpLogService, HttpPlatformClient } from '@acaciadock/platform';
import { ConfigFollower } from '@acaciadock/replication';
import { LogStandIn } from '@acaciadock/testkit';

const SEED = 1;
/** Changes after the snapshot: as many as there may be before the next snapshot is due. */
const CHANGES_AFTER_SNAPSHOT = 2_000;

export interface StartCost {
  /** Time to catch up from a snapshot and the changes after it. */
  readonly fromSnapshotMs: number;
  /** Time to catch up by reading every change, without a snapshot. */
  readonly fullReplayMs: number;
}

async function catchUpMs(log: LogStandIn, initial: ConfigDocument): Promise<number> {
  const client = new HttpPlatformClient(`http://${log.address}`);
  const clock = new SystemClock();
  const startMs = performance.now();
  const follower = new ConfigFollower(new HttpLogService(client), clock, new Random(SEED), initial);
  void follower.run();
  while (!follower.isCaughtUp) await clock.sleep(1);
  const durationMs = performance.now() - startMs;
  follower.dispose();
  await client.close();
  return durationMs;
}

/**
 * Measures a start without a snapshot, after `changes` changes, and then a start with a snapshot
 * behind these changes and with further changes after it.
 */
export async function measureStart(changes: number): Promise<StartCost> {
  const initial = smallDocument();
  const log = new LogStandIn(new SystemClock());
  await log.listen();
  const writer = new ConfigReducer(initial);
  const write = (version: number): void => {
    const record = limitPatch(`p${version}`, version, version % 100);
    writer.reduce(log.append(CONFIG_STREAM, [record]), record);
  };
  for (let version = 0; version < changes; version += 1) write(version);
  const fullReplayMs = await catchUpMs(log, initial);
  const snapshot = writer.snapshot();
  writer.reduce(log.append(CONFIG_STREAM, [snapshot]), snapshot);
  for (let index = 0; index < CHANGES_AFTER_SNAPSHOT; index += 1) write(writer.state.version);
  const fromSnapshotMs = await catchUpMs(log, initial);
  await log.close();
  return { fromSnapshotMs, fullReplayMs };
}
