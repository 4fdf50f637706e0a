import { describe, it } from '@acaciadock/core/testing';
import { MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';
import { instanceStateSchema, transition } from './InstanceState.js';
import { MaintenanceReducer } from './MaintenanceReducer.js';

const LEASE_MS = 1_000;

function claim(entryId: string): unknown {
  const incarnation = `${entryId}-1`;
  const claimId = `claim-${entryId}`;
  return { kind: 'maintenance-claim', claimId, entryId, incarnation, leaseMs: LEASE_MS };
}

function opened(epoch: number, basisOffset: number, instanceId = 'a0'): unknown {
  const jobs = [{ jobId: `job-${instanceId}`, instanceId, purpose: 'reboot' }];
  return { kind: 'maintenance-jobs-opened', epoch, basisOffset, jobs };
}

function command(fields: Record<string, unknown>, commandId = 'c'): unknown {
  return { kind: 'maintenance-command', commandId, author: 'test', command: fields };
}

class Stream {
  readonly reducer = new MaintenanceReducer();

  private nextOffset = 0;

  constructor() {
    this.reducer.markComplete();
  }

  add(payload: unknown, appendedAtMs = 0): string {
    const verdict = this.reducer.reduce({ offset: this.nextOffset, appendedAtMs, payload });
    this.nextOffset += 1;
    return verdict.kind;
  }
}

describe('InstanceState', () => {
  it('reaches serving only from a health check or a move', (t) => {
    const states = instanceStateSchema.options;
    const toServing = states.filter((from) => transition(from, 'serving').isOk());
    t.same(toServing, ['probing', 'moving']);
    t.same(
      states.filter((from) => transition(from, 'rebooting').isOk()),
      ['drained'],
    );
  });
});

describe('MaintenanceReducer', () => {
  const claims: readonly [string, number, string][] = [
    ['while the lease is valid', LEASE_MS - 1, 'fenced'],
    ['within the clock skew', LEASE_MS + MAX_CLOCK_SKEW_MS, 'fenced'],
    ['after lease and skew', LEASE_MS + MAX_CLOCK_SKEW_MS + 1, 'accepted'],
  ];
  claims.forEach(([when, atMs, kind]) => {
    it(`a second claim ${when} is ${kind}`, (t) => {
      const stream = new Stream();
      t.equal(stream.add(claim('e0')), 'accepted');
      t.equal(stream.add(claim('e1'), atMs), kind);
    });
  });

  it('a renewal extends the lease and a release ends it', (t) => {
    const stream = new Stream();
    stream.add(claim('e0'));
    const renewal = { kind: 'maintenance-renewal', renewalId: 'r', epoch: 0 };
    t.equal(stream.add(renewal, LEASE_MS), 'accepted');
    t.equal(stream.add(claim('e1'), LEASE_MS + MAX_CLOCK_SKEW_MS + 1), 'fenced');
    t.equal(stream.add({ kind: 'maintenance-release', epoch: 0 }, 1_600), 'accepted');
    t.equal(stream.add(claim('e1'), 1_600), 'accepted');
  });

  it('fences a record of a previous controller', (t) => {
    const stream = new Stream();
    stream.add(claim('e0'));
    stream.add(claim('e1'), 10_000);
    t.equal(stream.add(opened(0, 1)), 'fenced');
    t.same(stream.reducer.state.jobs, {});
  });

  it('rejects a record that is based on an outdated offset', (t) => {
    const stream = new Stream();
    stream.add(claim('e0'));
    t.equal(stream.add(opened(0, 0)), 'accepted');
    t.equal(stream.add(opened(0, 0, 'a1')), 'outdated');
    t.equal(stream.add(opened(0, 1, 'a1')), 'accepted');
    t.same(Object.keys(stream.reducer.state.jobs), ['job-a0', 'job-a1']);
  });

  it('rejects a step that was decided before the roll-out was paused', (t) => {
    const stream = new Stream();
    stream.add(claim('e0'));
    const rollOut = { rollOutId: 'r', instanceIds: ['a0'] };
    stream.add(command({ action: 'start-roll-out', ...rollOut }));
    stream.add(command({ action: 'pause-roll-out', rollOutId: 'r' }));
    t.equal(stream.add(opened(0, 1)), 'outdated');
    t.equal(stream.reducer.state.rollOut?.status, 'paused');
  });

  it('ignores records of other components and of later schemas', (t) => {
    const stream = new Stream();
    t.equal(stream.add({ kind: 'roster-join' }), 'foreign');
    t.equal(stream.add({ kind: 'maintenance-unknown' }), 'foreign');
  });

  it('a reader that starts from a snapshot reaches the same state as a full reader', (t) => {
    const whole = new Stream();
    whole.add(claim('e0'));
    whole.add(opened(0, 0));
    const payload = { kind: 'maintenance-snapshot', epoch: 0, state: whole.reducer.state };
    const between = command({ action: 'start-roll-out', rollOutId: 'r', instanceIds: ['a1'] });
    const late = new MaintenanceReducer();
    [opened(0, 0), between, payload].forEach((record, index) => {
      late.reduce({ offset: index + 1, appendedAtMs: 0, payload: record });
      if (index > 0) whole.add(record);
    });
    t.equal(late.state.rollOut?.rollOutId, 'r', 'the command before the snapshot is applied');
    const transitions = [{ jobId: 'job-a0', to: 'drained' }];
    const next = { kind: 'maintenance-transitions', epoch: 0, basisOffset: 3, transitions };
    t.equal(whole.add(next, 5), 'accepted');
    t.equal(late.reduce({ offset: 4, appendedAtMs: 5, payload: next }).kind, 'accepted');
    t.same(late.state, whole.reducer.state);
  });

  it('accepts only one open roll-out at a time', (t) => {
    const stream = new Stream();
    const start = (rollOutId: string): unknown =>
      command({ action: 'start-roll-out', rollOutId, instanceIds: ['a0'] });
    t.equal(stream.add(start('r1')), 'accepted');
    t.equal(stream.add(start('r2')), 'not-applicable');
    t.equal(stream.add(command({ action: 'abort-roll-out', rollOutId: 'r1' })), 'accepted');
    t.equal(stream.add(start('r2')), 'accepted');
  });
});
