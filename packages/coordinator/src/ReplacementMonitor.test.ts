/** Guards against crashes that go unnoticed, and against ends of runs that may be alive. */
import { describe, it } from '@acaciadock/core/testing';
import { type FleetInstance } from './contracts/index.js';
import { type FleetTarget } from './FleetTarget.js';
import { ReplacementMonitor } from './ReplacementMonitor.js';
import { RunFixture } from './testing/RunFixture.js';

type InstanceState = FleetInstance['state'];

function instance(
  instanceId: string,
  targetId: string,
  state: InstanceState = targetId === '' ? 'down' : 'up',
): FleetInstance {
  return {
    instanceId,
    poolId: 'pool',
    state,
    zoneId: 'z',
    rackId: 'r',
    labels: [],
    capacity: { cpuMilli: 4_000, memoryMb: 64_000, gpuCount: 0 },
    targetId,
  };
}

describe('ReplacementMonitor', () => {
  it('ends the runs of a target once another one is on its instance', (t) => {
    const fixture = new RunFixture(2);
    const monitor = new ReplacementMonitor(fixture.targets, fixture.crashes);
    const job = fixture.accept('a');
    fixture.start(job, 't0');
    monitor.compare([instance('m0', 't0')], 1);
    monitor.compare([instance('m0', 't1')], 2);
    t.match(job.find(0, 0, 0)?.task, { crashes: 1, runs: [] });
    t.match(fixture.logger.of('target-crashed'), [{ targetId: 't0', reason: 'replaced' }]);
  });

  it('waits while the instance is down or missing, as its target may only be cut off', (t) => {
    const fixture = new RunFixture(1);
    const monitor = new ReplacementMonitor(fixture.targets, fixture.crashes);
    const job = fixture.accept('a');
    fixture.start(job, 't0');
    monitor.compare([instance('m0', 't0')], 3);
    monitor.compare([instance('m0', '')], 4);
    monitor.compare([], 5);
    t.equal(job.find(0, 0, 0)?.task.runs.length, 1);
    monitor.compare([instance('m0', 't0')], 6);
    t.equal(job.find(0, 0, 0)?.task.runs.length, 1);
  });

  it('counts no crash if the instance was emptied for an order', (t) => {
    const fixture = new RunFixture(2);
    const monitor = new ReplacementMonitor(fixture.targets, fixture.crashes);
    const job = fixture.accept('a');
    fixture.start(job, 't0');
    Object.assign(fixture.target('t0'), { isReserved: true });
    monitor.compare([instance('m0', 't0')], 7);
    monitor.compare([instance('m0', 't1')], 8);
    t.match(job.find(0, 0, 0)?.task, { crashes: 0, runs: [] });
  });

  describe('of an instance that is listed as down', () => {
    const LISTED_MS = 1_000;
    const REPORTED_MS = 1_100;
    const DOWN_MS = 1_500;
    const NEXT_MS = 1_950;

    class Play {
      readonly fixture = new RunFixture(2);

      readonly monitor = new ReplacementMonitor(this.fixture.targets, this.fixture.crashes);

      readonly job = this.fixture.accept('a');

      readonly run = this.fixture.start(this.job, 't0');

      constructor() {
        this.monitor.compare([instance('m0', 't0')], LISTED_MS);
        this.change({ reportedMs: REPORTED_MS, consecutiveFailures: 2 });
      }

      change(change: Partial<FleetTarget>): void {
        Object.assign(this.fixture.target('t0'), change);
      }

      /** The instance is listed as down; the lists were requested at these times. */
      down(...requestedMs: readonly number[]): void {
        requestedMs.forEach((atMs) => this.list(atMs, 'down'));
      }

      list(requestedMs: number, state: InstanceState): void {
        this.monitor.compare([instance('m0', state === 'up' ? 't0' : '', state)], requestedMs);
      }

      get runCount(): number | undefined {
        return this.job.find(0, 0, 0)?.task.runs.length;
      }
    }

    it('closes an idle target until it has answered', (t) => {
      // Fails if only the missing answer to a start closes it: that task waits until its lease has expired.
      const fixture = new RunFixture(2);
      const monitor = new ReplacementMonitor(fixture.targets, fixture.crashes);
      const target = fixture.target('t0');
      monitor.compare([instance('m0', 't0')], LISTED_MS);
      Object.assign(target, { isConfirmed: true, reportedMs: DOWN_MS + 10 });
      monitor.compare([instance('m0', '')], DOWN_MS);
      t.ok(target.isConfirmed, 'it has answered since the list was requested');
      monitor.compare([instance('m0', '')], NEXT_MS);
      t.notOk(target.isConfirmed);
    });

    it('ends the runs of its silent target at the second list, as crashed', (t) => {
      const play = new Play();
      play.down(DOWN_MS);
      t.equal(play.runCount, 1, 'one list may be older than the target');
      play.down(NEXT_MS);
      t.match(play.job.find(0, 0, 0)?.task, { crashes: 1, runs: [] });
      const { logger } = play.fixture;
      t.match(logger.of('target-crashed'), [{ targetId: 't0', reason: 'listed-down' }]);
    });

    it('ends them too if the list still names the target', (t) => {
      const play = new Play();
      const down = [instance('m0', 't0', 'down')];
      play.monitor.compare(down, DOWN_MS);
      play.monitor.compare(down, NEXT_MS);
      t.equal(play.runCount, 0);
    });

    it('records one crash, however often it is listed', (t) => {
      const play = new Play();
      play.down(DOWN_MS, NEXT_MS, NEXT_MS + 450, NEXT_MS + 900);
      t.equal(play.job.find(0, 0, 0)?.task.crashes, 1);
      t.equal(play.fixture.logger.of('target-crashed').length, 1);
    });

    it('proves nothing while the target answers', (t) => {
      const play = new Play();
      play.change({ consecutiveFailures: 0 });
      play.down(DOWN_MS, NEXT_MS, NEXT_MS + 450);
      t.equal(play.runCount, 1);
    });

    it('proves nothing if the lists were requested before its last report', (t) => {
      const play = new Play();
      play.change({ reportedMs: NEXT_MS + 10 });
      play.down(DOWN_MS, NEXT_MS);
      t.equal(play.runCount, 1);
    });

    it('proves nothing if it reports between the two lists', (t) => {
      const play = new Play();
      play.down(DOWN_MS);
      play.change({ reportedMs: DOWN_MS + 10 });
      play.down(NEXT_MS);
      t.equal(play.runCount, 1);
      play.down(NEXT_MS + 450);
      t.equal(play.runCount, 0, 'two lists after that report do');
    });

    it('proves nothing by the same list twice', (t) => {
      const play = new Play();
      play.down(DOWN_MS, DOWN_MS);
      t.equal(play.runCount, 1);
    });

    it('proves nothing if it is listed as up, or is missing, in between', (t) => {
      const play = new Play();
      play.down(DOWN_MS);
      play.list(NEXT_MS, 'up');
      play.down(NEXT_MS + 450);
      play.monitor.compare([], NEXT_MS + 900);
      play.down(NEXT_MS + 1_350);
      t.equal(play.runCount, 1);
    });

    it('proves nothing while it moves or has upkeep, which end a target as planned', (t) => {
      for (const state of ['moving', 'upkeep'] as const) {
        const play = new Play();
        play.list(DOWN_MS, state);
        play.list(NEXT_MS, state);
        t.equal(play.runCount, 1);
      }
    });

    it('counts no crash if it was emptied for an order', (t) => {
      const play = new Play();
      play.change({ isReserved: true });
      play.down(DOWN_MS, NEXT_MS);
      t.match(play.job.find(0, 0, 0)?.task, { crashes: 0, runs: [] });
    });

    it('proves nothing if its target was never listed there', (t) => {
      const fixture = new RunFixture(1);
      const monitor = new ReplacementMonitor(fixture.targets, fixture.crashes);
      const job = fixture.accept('a');
      fixture.start(job, 't0');
      Object.assign(fixture.target('t0'), { consecutiveFailures: 2 });
      [DOWN_MS, NEXT_MS].forEach((atMs) => monitor.compare([instance('m0', '')], atMs));
      t.equal(job.find(0, 0, 0)?.task.runs.length, 1);
    });

    it('keeps all runs while a start may still be executed by the next process under its id', (t) => {
      // Fails with the task at work twice: its order reaches the next process seconds later.
      for (const phase of ['ordered', 'uncertain', 'stopping'] as const) {
        const play = new Play();
        const other = play.fixture.accept('b');
        const unanswered = play.fixture.start(other, 't0');
        Object.assign(unanswered, { phase, isConfirmed: false });
        play.down(DOWN_MS, NEXT_MS);
        t.equal(play.runCount, 1, 'the one that is confirmed may be the only one to blame');
        t.equal(other.find(0, 0, 0)?.task.runs.length, 1);
        Object.assign(unanswered, { isConfirmed: true });
        play.down(NEXT_MS + 450);
        t.equal(play.runCount, 0);
      }
    });

    it('takes back a run whose start was not ordered, without a crash', (t) => {
      const play = new Play();
      const planned = play.fixture.accept('b');
      Object.assign(play.fixture.start(planned, 't0'), { phase: 'planned', isConfirmed: false });
      play.down(DOWN_MS, NEXT_MS);
      t.match(planned.find(0, 0, 0)?.task, { crashes: 0, runs: [] });
    });
  });
});
