/** Tests which runs are stopped and which targets are ejected, with the reports of busy targets. */
import { describe, it } from '@acaciadock/core/testing';
import { HealthFixture, type HealthFixtureOptions } from './testing/HealthFixture.js';

const TAIL: HealthFixtureOptions = { seed: 7, targetCount: 12, slots: 8, tailShare: 0.03 };
const EVEN: HealthFixtureOptions = { ...TAIL, tailShare: 0 };

/**
 * Bounds for a target with eight tasks, in milliseconds. The rule that compares a run with the mean
 * of its queue alone gives up the first run after at most 2,200 and ejects after at most 3,050.
 */
const MAX_FIRST_VERDICT_MS = 2_200;
const MAX_EJECTION_MS = 3_050;

function createFixture(options: HealthFixtureOptions, warmUpMs = 10_000): HealthFixture {
  const fixture = new HealthFixture(options);
  fixture.run(warmUpMs);
  return fixture;
}

describe('HealthMonitor', () => {
  [1, 4, 8].forEach((slots) => {
    it(`stops no inherently long task on sound targets with ${slots} tasks each`, (t) => {
      // Fails if a run is compared with the mean of its queue only: most of the tail was stopped.
      const fixture = createFixture({ ...TAIL, slots, targetCount: 96 / slots }, 60_000);
      t.equal(fixture.givenUp.length, 0);
      t.same(
        fixture.all.filter(({ targetId }) => fixture.isEjected(targetId)),
        [],
      );
    });
  });

  it('stops no inherently long task when a new owner starts with many tasks at once', (t) => {
    // Fails if runs are judged before all long ones of the check are counted: the queue seems to
    // have no tail.
    const fixture = createFixture({ ...TAIL, targetCount: 100 }, 3_000);
    t.equal(fixture.givenUp.length, 0);
  });

  [TAIL, EVEN].forEach((options) => {
    const tail = `a tail of ${options.tailShare}`;
    const faults = {
      'is eight times as slow': { slowdown: 8 },
      stalls: { slowdown: Infinity },
      'fails everything': { isFailing: true },
    };
    Object.entries(faults).forEach(([name, fault]) => {
      it(`ejects a target that ${name}, with ${tail}`, (t) => {
        const fixture = createFixture(options);
        const startedMs = fixture.clock.monotonicMs();
        fixture.setFault('t3', fault);
        const tookMs = fixture.timeUntil(() => fixture.isEjected('t3'), 10_000);
        t.ok(tookMs <= MAX_EJECTION_MS, `ejected after ${tookMs} ms`);
        const stopped = fixture.givenUp.filter(({ atMs }) => atMs > startedMs);
        const firstMs = (stopped[0]?.atMs ?? startedMs) - startedMs;
        t.ok(firstMs <= MAX_FIRST_VERDICT_MS, `first verdict after ${firstMs} ms`);
        t.ok(
          stopped.every(({ live }) => live.targetId === 't3'),
          'no run of other targets is stopped',
        );
      });
    });
  });

  it('restarts no run that is copied and counts it once against its target', (t) => {
    const verdicts: string[] = [];
    const fixture = createFixture({
      ...EVEN,
      handleStraggler: (_, verdict) => {
        verdicts.push(verdict);
        return 'copied';
      },
    });
    fixture.setFault('t3', { slowdown: Infinity });
    fixture.run(3_000);
    t.ok(verdicts.includes('slow') && verdicts.includes('stalled'));
    t.ok(fixture.isEjected('t3'));
    fixture.run(3_000);
    // Fails if a run counts at every check: its target would be ejected again at once.
    t.notOk(fixture.isEjected('t3'));
    t.equal(fixture.givenUp.length, 0);
  });

  it('gives a slow target fewer tasks first, until it recovers', (t) => {
    const fixture = createFixture(TAIL);
    const weightOf = (targetId: string): number => fixture.targets.get(targetId)?.weight ?? 0;
    fixture.setFault('t3', { slowdown: 3 });
    const weighedMs = fixture.timeUntil(() => weightOf('t3') < 1, 3_000);
    t.ok(weighedMs <= 1_000, `weighed after ${weighedMs} ms`);
    t.notOk(fixture.isEjected('t3'));
    fixture.run(2_000);
    t.ok(weightOf('t3') < 0.6 && weightOf('t3') > 0, `weight ${weightOf('t3')}`);
    t.equal(fixture.all.filter(({ weight }) => weight < 1).length, 1);
    fixture.setFault('t3', { slowdown: 1 });
    t.ok(fixture.timeUntil(() => weightOf('t3') === 1, 5_000) <= 5_000);
  });

  it('keeps most of a pool in use when half of it becomes slow at once', (t) => {
    const fixture = createFixture(TAIL);
    const slowIds = fixture.all.slice(0, 6).map(({ targetId }) => targetId);
    slowIds.forEach((targetId) => fixture.setFault(targetId, { slowdown: 8 }));
    let minUsable = fixture.all.length;
    for (let second = 0; second < 15; second += 1) {
      fixture.run(1_000);
      minUsable = Math.min(minUsable, fixture.monitor.usable(fixture.all).length);
    }
    t.ok(minUsable >= 8, `at least ${minUsable} of 12 usable`);
    const stoppedOn = new Set(fixture.givenUp.map(({ live }) => live.targetId));
    t.same(
      [...stoppedOn].filter((targetId) => !slowIds.includes(targetId)),
      [],
      'only on slow targets',
    );
    t.ok(fixture.all.filter(({ weight }) => weight < 1).length <= 6);
  });
});
