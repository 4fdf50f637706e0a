/** Measures what control costs a node at today's size: eight entry processes, idle and busy. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { ProcessFleet } from '@acaciadock/scenarios';
import { request } from 'undici';
import { usageOf } from './ProcessUsage.js';

const ENTRY_COUNT = 8;
const TARGET_COUNT = 35;
const TEAM = 'team-1';
const SERVICE = 'advice';
const SETTLE_MS = 12_000;
const FORWARDER = fileURLToPath(new URL('bareForwarder.js', import.meta.url));

export interface NodeCost {
  /** Per cent of one core, averaged over the entries. */
  readonly corePercent: number;
  /** Resident memory of the largest entry process. */
  readonly residentBytes: number;
  /** Traffic with the other entries and the platform, in both directions, averaged over the entries. */
  readonly bytesPerSecond: number;
}

export interface EntryCosts {
  readonly idle: NodeCost;
  readonly busy: NodeCost;
  /** Mean number of requests per second that an entry answered while busy, with any status. */
  readonly requestsPerSecond: number;
  /** Resident memory of a process that only forwards. */
  readonly forwarderBytes: number;
}

/** Sums over all entries, except for `residentBytes`. */
interface Sample {
  readonly atMs: number;
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  readonly trafficBytes: number;
}

async function peerBytes(fleet: ProcessFleet): Promise<number> {
  const counts = await Promise.all(
    fleet.entries.map(async ({ settings }) => {
      const answer = await request(`http://${settings.operatorAddress}/metrics`);
      const text = await answer.body.text();
      const sent = /^acaciadock_peer_sent_bytes (\d+)/m.exec(text)?.[1] ?? '0';
      const received = /^acaciadock_peer_received_bytes (\d+)/m.exec(text)?.[1] ?? '0';
      return Number(sent) + Number(received);
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

async function sample(fleet: ProcessFleet): Promise<Sample> {
  const usages = fleet.entries.map(({ pid }) => usageOf(pid));
  const platform =
    fleet.log.trafficBytes + fleet.directory.trafficBytes + fleet.control.trafficBytes;
  return {
    atMs: fleet.clock.monotonicMs(),
    cpuSeconds: usages.reduce((sum, usage) => sum + usage.cpuSeconds, 0),
    residentBytes: Math.max(...usages.map((usage) => usage.residentBytes)),
    trafficBytes: platform + (await peerBytes(fleet)),
  };
}

function costBetween(before: Sample, after: Sample): NodeCost {
  const seconds = (after.atMs - before.atMs) / 1_000;
  return {
    corePercent: (100 * (after.cpuSeconds - before.cpuSeconds)) / seconds / ENTRY_COUNT,
    residentBytes: after.residentBytes,
    bytesPerSecond: (after.trafficBytes - before.trafficBytes) / seconds / ENTRY_COUNT,
  };
}

/**
 * Sends requests through every entry, one at a time for each, until `durationMs` has passed. Returns
 * the number of requests sent.
 */
async function keepBusy(fleet: ProcessFleet, durationMs: number): Promise<number> {
  const untilMs = fleet.clock.monotonicMs() + durationMs;
  const counts = await Promise.all(
    fleet.entries.map(async (_, index) => {
      let sent = 0;
      while (fleet.clock.monotonicMs() < untilMs) {
        await fleet.send(index, TEAM, SERVICE);
        sent += 1;
      }
      return sent;
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

async function forwarderBytes(): Promise<number> {
  const child = spawn(process.execPath, [FORWARDER], { stdio: ['ignore', 'pipe', 'inherit'] });
  await once(child.stdout, 'data');
  const { residentBytes } = usageOf(child.pid ?? 0);
  child.kill();
  return residentBytes;
}

/** Measures idle entries for `durationMs`, then busy entries for the same time. */
export async function measureEntries(durationMs: number): Promise<EntryCosts> {
  const fleet = await ProcessFleet.start({
    entryCount: ENTRY_COUNT,
    targetCount: TARGET_COUNT,
    teams: { [TEAM]: { share: 1, limit: 100 } },
  });
  try {
    await fleet.clock.sleep(SETTLE_MS);
    const beforeIdle = await sample(fleet);
    await fleet.clock.sleep(durationMs);
    const afterIdle = await sample(fleet);
    const sent = await keepBusy(fleet, durationMs);
    const afterBusy = await sample(fleet);
    return {
      idle: costBetween(beforeIdle, afterIdle),
      busy: costBetween(afterIdle, afterBusy),
      requestsPerSecond: sent / (durationMs / 1_000) / ENTRY_COUNT,
      forwarderBytes: await forwarderBytes(),
    };
  } finally {
    await fleet.stop();
  }
}
