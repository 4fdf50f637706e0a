import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { MAX_CLOCK_SKEW_MS, type WorkReply } from '@acaciadock/peers';
import { DEFAULT_DRAIN_LIMITS, DrainTracker } from './DrainTracker.js';

const VERSION = 7;
const LEASE_MS = 4_000;
const SETTLE_MS = DEFAULT_DRAIN_LIMITS.startWindowMs + MAX_CLOCK_SKEW_MS;
const MAX_WORK_MS = DEFAULT_DRAIN_LIMITS.fenceMs + SETTLE_MS + LEASE_MS + MAX_CLOCK_SKEW_MS;

function reply(configVersion: number, openRuns = 0): WorkReply {
  return {
    kind: 'work-reply',
    queryId: 'q',
    configVersion,
    openRuns: openRuns > 0 ? [{ instanceId: 'a0', count: openRuns }] : [],
    runningByService: [],
  };
}

class DrainFixture {
  readonly clock = new ManualClock();

  readonly tracker = new DrainTracker(this.clock);

  constructor(entryIds: readonly string[]) {
    this.tracker.expect(entryIds);
    this.tracker.close('a0', VERSION, LEASE_MS);
  }

  report(entryId: string, answer: WorkReply): void {
    this.tracker.report(entryId, answer, this.clock.monotonicMs());
  }

  blockers(): string[] {
    return this.tracker.blockers('a0').map(({ kind }) => kind);
  }
}

describe('DrainTracker', () => {
  it('waits for every entry, then for the start window, then for a later report', (t) => {
    const drain = new DrainFixture(['e0', 'e1']);
    drain.report('e0', reply(VERSION));
    t.same(drain.blockers(), ['entry-behind']);
    drain.report('e1', reply(VERSION));
    t.same(drain.blockers(), ['start-window', 'start-window']);
    drain.clock.advance(SETTLE_MS);
    t.same(
      drain.blockers(),
      ['start-window', 'start-window'],
      'the reports predate the end of the window',
    );
    drain.report('e0', reply(VERSION));
    drain.report('e1', reply(VERSION));
    t.ok(drain.tracker.isDrained('a0'));
  });

  it('detects a run whose grant was sent at the end of its start window', (t) => {
    const drain = new DrainFixture(['e0']);
    drain.report('e0', reply(VERSION));
    drain.blockers();
    drain.clock.advance(SETTLE_MS - 1);
    drain.report('e0', reply(VERSION));
    t.notOk(
      drain.tracker.isDrained('a0'),
      'a query sent before the end of the window is not conclusive',
    );
    drain.clock.advance(1);
    drain.report('e0', reply(VERSION, 1));
    t.same(drain.blockers(), ['open-runs']);
  });

  it('waits for an entry that starts with an older configuration version', (t) => {
    const drain = new DrainFixture(['e0']);
    drain.report('e0', reply(VERSION));
    drain.tracker.expect(['e9']);
    t.same(drain.blockers(), ['entry-behind']);
    drain.report('e9', reply(VERSION - 1));
    t.same(drain.blockers(), ['entry-behind']);
  });

  it('waits for a silent entry until the leases of all its work have expired', (t) => {
    const drain = new DrainFixture(['e0', 'e1']);
    const reportFirst = (): void => drain.report('e0', reply(VERSION));
    drain.clock.advance(MAX_WORK_MS - 1);
    reportFirst();
    t.same(drain.blockers(), ['entry-silent']);
    drain.clock.advance(1);
    drain.blockers();
    drain.clock.advance(SETTLE_MS);
    reportFirst();
    t.ok(drain.tracker.isDrained('a0'));
  });

  it('does not report an instance that was never closed as drained', (t) => {
    t.notOk(new DrainTracker(new ManualClock()).isDrained('a0'));
  });
});
