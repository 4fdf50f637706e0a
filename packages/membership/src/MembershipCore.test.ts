import { EventEmitter } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type LogRecord } from '@acaciadock/platform';
import { MembershipCore } from './MembershipCore.js';
import { DEFAULT_MEMBERSHIP_TIMING } from './MembershipTiming.js';

const UNIX_MS = 1_800_000_000_000;
const { heartbeatMs, fenceMs, silenceMs, absenceMs, massLossMs, staleMs } =
  DEFAULT_MEMBERSHIP_TIMING;
const FACTS = { configVersion: 1, configOffset: 0, logReachable: true, stopping: false };

/**
 * Members that exchange heartbeats in lockstep. Tests can disconnect members, remove them from the
 * platform's list and make the log unavailable. Proposed evictions are returned but not appended.
 */
class LockstepGroup {
  nowMs = 0;

  readonly cores: MembershipCore[];

  readonly records: LogRecord[] = [];

  readonly silent = new Set<string>();

  readonly unlisted = new Set<string>();

  logDown = false;

  constructor(readonly entryIds: readonly string[]) {
    this.cores = entryIds.map((entryId) => new MembershipCore({ entryId, incarnation: '1' }));
    entryIds.forEach((entryId) => this.join(entryId, '1'));
  }

  core(entryId: string): MembershipCore {
    const core = this.cores.find((other) => other.entryId === entryId);
    if (!core) throw new Error(`no member ${entryId}`);
    return core;
  }

  join(entryId: string, incarnation: string): void {
    this.append({ kind: 'join', entryId, incarnation, address: '127.0.0.1:1', zoneId: 'zone-a' });
  }

  append(payload: object): void {
    const record = {
      offset: this.records.length,
      appendedAtMs: UNIX_MS + this.nowMs,
      payload,
    };
    this.records.push(record);
    this.cores.forEach((core) => {
      if (!this.silent.has(core.entryId)) core.applyRecord(record, this.nowMs);
    });
  }

  /** Runs rounds of heartbeats for this long; returns the evictions that were proposed. */
  run(forMs: number): readonly object[] {
    const proposed: object[] = [];
    for (let passedMs = 0; passedMs < forMs; passedMs += heartbeatMs) {
      this.nowMs += heartbeatMs;
      this.round().forEach((record) => proposed.push(record));
    }
    return proposed;
  }

  private round(): readonly object[] {
    const connected = this.cores.filter(({ entryId }) => !this.silent.has(entryId));
    connected.forEach((core) => {
      core.fence.tick(this.nowMs);
      if (!this.logDown) core.fence.confirmByLog(this.nowMs);
      core.handleList(this.list(), this.nowMs);
    });
    connected.forEach((core) =>
      core.heartbeats(this.nowMs, FACTS).forEach(({ toEntryId, heartbeat }) => {
        if (this.silent.has(toEntryId)) return;
        this.core(toEntryId).handleHeartbeat(core.entryId, heartbeat, this.nowMs);
      }),
    );
    if (this.logDown) return [];
    return connected.flatMap(
      (core) => core.proposeEviction(this.nowMs, UNIX_MS + this.nowMs) ?? [],
    );
  }

  private list() {
    return {
      observedAtMs: UNIX_MS + this.nowMs,
      instances: this.entryIds
        .filter((entryId) => !this.unlisted.has(entryId))
        .map((instanceId) => ({ instanceId, role: 'entry' as const, state: 'live' as const })),
    };
  }
}

const EVICTION_MS = silenceMs + absenceMs;

describe('the fence', () => {
  const cases = [
    { name: 'log and peers', down: false, cut: [], reason: undefined },
    { name: 'no log, all peers', down: true, cut: [], reason: undefined },
    { name: 'no log, one of four peers unreachable', down: true, cut: ['e4'], reason: undefined },
    {
      name: 'no log, minority',
      down: true,
      cut: ['e2', 'e3', 'e4'],
      reason: 'minority-without-log',
    },
    { name: 'no log, no peers', down: true, cut: ['e1', 'e2', 'e3', 'e4'], reason: 'isolated' },
    { name: 'log only', down: false, cut: ['e1', 'e2', 'e3', 'e4'], reason: undefined },
  ];
  cases.forEach(({ name, down, cut, reason }) => {
    it(`${name}: ${reason ?? 'open'}`, (t) => {
      const group = new LockstepGroup(['e0', 'e1', 'e2', 'e3', 'e4']);
      group.run(fenceMs);
      cut.forEach((entryId) => group.silent.add(entryId));
      group.logDown = down;
      group.run(2 * fenceMs);
      t.equal(group.core('e0').fenceReason(group.nowMs), reason);
      t.end();
    });
  });

  it('closes by itself when the process is paused, and reopens after a new proof', (t) => {
    const group = new LockstepGroup(['e0', 'e1', 'e2']);
    group.run(fenceMs);
    const core = group.core('e0');
    t.equal(core.fenceReason(group.nowMs + fenceMs + 1), 'paused');
    t.equal(core.fenceReason(group.nowMs), undefined);
    group.nowMs += 60_000;
    core.fence.tick(group.nowMs);
    t.equal(core.fenceReason(group.nowMs), 'isolated', 'proofs from before the pause have expired');
    group.run(2 * heartbeatMs);
    t.equal(core.fenceReason(group.nowMs), undefined);
    t.end();
  });

  it('closes for stale configuration and for a process that is not a member', (t) => {
    const group = new LockstepGroup(['e0', 'e1', 'e2']);
    group.run(fenceMs);
    const { fence } = group.core('e0');
    const { event } = new EventEmitter<void>();
    let behindMs = staleMs;
    const freshness = { onFreshness: event, isReady: () => true, behindForMs: () => behindMs };
    fence.watchFreshness(freshness);
    t.equal(group.core('e0').fenceReason(group.nowMs), undefined);
    behindMs = staleMs + 1;
    t.equal(group.core('e0').fenceReason(group.nowMs), 'stale-configuration');
    fence.watchFreshness({ ...freshness, isReady: () => false, behindForMs: () => undefined });
    t.equal(group.core('e0').fenceReason(group.nowMs), 'stale-configuration');
    group.join('e1', '2');
    t.equal(group.core('e1').fenceReason(group.nowMs), 'not-a-member');
    t.end();
  });
});

describe('eviction', () => {
  const entryIds = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5'];
  const cases = [
    { name: 'silent and listed', silent: ['e5'], unlisted: [], evicted: false },
    { name: 'missing from the list but heard', silent: [], unlisted: ['e5'], evicted: false },
    { name: 'silent and missing from the list', silent: ['e5'], unlisted: ['e5'], evicted: true },
    { name: 'half of the list missing', silent: [], unlisted: ['e3', 'e4', 'e5'], evicted: false },
  ];
  cases.forEach(({ name, silent, unlisted, evicted }) => {
    it(`${name}: ${evicted ? 'evicted' : 'kept'}`, (t) => {
      const group = new LockstepGroup(entryIds);
      group.run(fenceMs);
      silent.forEach((entryId) => group.silent.add(entryId));
      unlisted.forEach((entryId) => group.unlisted.add(entryId));
      t.equal(group.run(EVICTION_MS).length > 0, evicted);
      t.end();
    });
  });

  it('9: an entry that sees itself missing fences itself, unless the list is implausible', (t) => {
    const group = new LockstepGroup(entryIds);
    group.run(fenceMs);
    group.unlisted.add('e5');
    group.run(EVICTION_MS);
    t.equal(group.core('e5').fenceReason(group.nowMs), 'missing-from-list');
    ['e3', 'e4'].forEach((entryId) => group.unlisted.add(entryId));
    group.run(EVICTION_MS);
    t.equal(group.core('e5').fenceReason(group.nowMs), undefined);
    t.end();
  });

  it('needs votes that rule out a majority in every roster that the member may still hold', (t) => {
    const group = new LockstepGroup(['e0', 'e1', 'e2']);
    const { roster } = group.core('e2');
    const vote = { kind: 'evict' as const, memberId: 'e0:1', massLoss: false };
    const valid = { ...vote, voterIds: ['e1:1', 'e2:1'], sinceOffset: 2, expiresAtMs: UNIX_MS };
    const check = (change: object) => {
      const record = { ...valid, ...change };
      return roster.isValidEviction({ offset: 9, appendedAtMs: UNIX_MS, payload: record }, record);
    };
    t.ok(check({}));
    t.notOk(check({ voterIds: ['e1:1'] }), 'too few votes');
    t.notOk(check({ voterIds: ['e1:1', 'e9:1'] }), 'a vote by an unknown member');
    t.notOk(check({ expiresAtMs: UNIX_MS - 1 }), 'appended too late: the votes no longer bind');
    t.notOk(check({ sinceOffset: 0 }), 'it may have stopped reading while alone in the roster');
    t.end();
  });

  it('a voter supports no member that it voted to evict until the vote has expired', (t) => {
    const group = new LockstepGroup(['e0', 'e1', 'e2']);
    group.run(fenceMs);
    group.silent.add('e0');
    group.unlisted.add('e0');
    group.run(EVICTION_MS);
    group.silent.delete('e0');
    group.unlisted.delete('e0');
    group.logDown = true;
    group.run(fenceMs);
    t.equal(group.core('e0').fenceReason(group.nowMs), 'minority-without-log');
    group.run(DEFAULT_MEMBERSHIP_TIMING.voteBindsMs);
    t.equal(group.core('e0').fenceReason(group.nowMs), undefined);
    t.end();
  });

  it('evicts a majority that is silent and unlisted only after `massLossMs`', (t) => {
    const group = new LockstepGroup(entryIds);
    group.run(fenceMs);
    ['e1', 'e2', 'e3', 'e4', 'e5'].forEach((entryId) => {
      group.silent.add(entryId);
      group.unlisted.add(entryId);
    });
    t.equal(group.run(massLossMs / 2).length, 0);
    t.ok(group.run(massLossMs).length > 0);
    t.end();
  });
});
