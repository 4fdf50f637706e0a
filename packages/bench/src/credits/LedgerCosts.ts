/** Measures the ledger and membership: time per decision, bytes per heartbeat, heap per team. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { MembershipCore } from '@acaciadock/membership';
import { MessageCodec } from '@acaciadock/peers';
import { type CreditLedger } from '@acaciadock/credits';
import { LedgerGroup } from '@acaciadock/credits/testing';

const ENTRY_IDS = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
const LIMIT = 64;
const CYCLES = 200_000;
const ROUNDS = 20_000;
const TEAM_COUNTS = [90, 180, 360, 720];

export interface LedgerCosts {
  readonly acquireReleaseUs: number;
  readonly heartbeatRoundUs: number;
  readonly heartbeatBytes: number;
  readonly heapByTeams: readonly { readonly teams: number; readonly bytesPerEntry: number }[];
  readonly idleFlushUs: readonly { readonly teams: number; readonly us: number }[];
}

function meanUs(count: number, action: () => void): number {
  const from = process.hrtime.bigint();
  for (let index = 0; index < count; index += 1) action();
  return Number(process.hrtime.bigint() - from) / 1_000 / count;
}

function createGroup(teams: number): LedgerGroup {
  const group = new LedgerGroup(ENTRY_IDS);
  for (let index = 0; index < teams; index += 1) group.setLimit(1, `team${index}`, LIMIT);
  group.catchUp(...group.ledgers);
  return group;
}

function firstLedgerOf(group: LedgerGroup): CreditLedger {
  const [ledger] = group.ledgers;
  if (!ledger) throw new RangeError('the ledger group is empty');
  return ledger;
}

function heapBytes(collectGarbage: () => void): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function membershipCosts(): { readonly us: number; readonly bytes: number } {
  const core = new MembershipCore({ entryId: 'e0', incarnation: '0a1b2c3d4e5f' });
  ENTRY_IDS.forEach((entryId, offset) => {
    const payload = {
      kind: 'join',
      entryId,
      incarnation: '0a1b2c3d4e5f',
      address: '127.0.0.1:1',
      zoneId: 'a',
    };
    core.applyRecord({ offset, appendedAtMs: 0, payload }, 0);
  });
  const facts = { configVersion: 9, configOffset: 99, logReachable: true, stopping: false };
  let nowMs = 0;
  let bytes = 0;
  const us = meanUs(ROUNDS, () => {
    nowMs += 500;
    const sent = core.heartbeats(nowMs, facts);
    sent.forEach(({ toEntryId, heartbeat }) => core.handleHeartbeat(toEntryId, heartbeat, nowMs));
    core.liveMembers(nowMs, false);
    core.proposeEviction(nowMs, nowMs);
    bytes = sent[0] ? MessageCodec.encode('e0', [sent[0].heartbeat]).length : 0;
  });
  return { us, bytes };
}

export function measureLedgerCosts(): LedgerCosts {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const ledger = firstLedgerOf(createGroup(1));
  const acquireReleaseUs = meanUs(CYCLES, () => {
    const use = ledger.tryAcquire('team0', 0);
    if (use) ledger.release(use.useId, 0);
  });
  const heapByTeams = TEAM_COUNTS.map((teams) => {
    const before = heapBytes(collectGarbage);
    const group = createGroup(teams);
    const totalBytes = heapBytes(collectGarbage) - before;
    // A group has eight ledgers, a reference book and the log; the book is counted as one more entry.
    return { teams, bytesPerEntry: Math.round(totalBytes / (group.ledgers.length + 1)) };
  });
  const idleFlushUs = TEAM_COUNTS.map((teams) => {
    const idle = firstLedgerOf(createGroup(teams));
    const live = new Set(ENTRY_IDS);
    return { teams, us: meanUs(ROUNDS, () => idle.flush(live, 0)) };
  });
  const { us, bytes } = membershipCosts();
  return {
    acquireReleaseUs,
    heartbeatRoundUs: us,
    heartbeatBytes: bytes,
    heapByTeams,
    idleFlushUs,
  };
}
