import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { MAX_CLOCK_SKEW_MS, type WorkReply } from '@acaciadock/peers';
import { DEFAULT_DRAIN_LIMITS, DrainTracker } from './DrainTracker.js';

const VERSION = 7;
const LEASE_MS = 4_000;
const SETTLE_MS = DEFAULT_DRAIN_LIMITS.startWindowMs + MAX_CLOCK_SKEW_MS;
const BOUND_MS = DEFAULT_DRAIN_LIMITS.fenceMs + SETTLE_MS + LEASE_MS + MAX_CLOCK_SKEW_MS;

function reply(configVersion: number, openRuns = 0): WorkReply {
  return {
    kind: 'work-reply',
    queryId: 'q',
    configVersion,
    openRuns: openRuns > 0 ? [{ instanceId: 'a0', count: openRuns }] : [],
    runningByService: [],
  };
}

class Drain {
  readonly clock = new ManualClock();

  readonly tracker = new DrainTracker(this.clock);

  constructor(entryIds: readonly string[]) {
    this.tracker.expect(entryIds);
    this.tracker.close('a0', VERSION, LEASE_MS);
  }

  hear(entryId: string, answer: WorkReply): void {
    this.tracker.report(entryId, answer, this.clock.monotonicMs());
  }

  blockers(): string[] {
    return this.tracker.blockers('a0').map(({ kind }) => kind);
  }
}

describe('DrainTracker', () => {
  it('waits for every entry, then for the start window, then for a fresh report', (t) => {
    const drain = new Drain(['e0', 'e1']);
    drain.hear('e0', reply(VERSION));
    t.same(drain.blockers(), ['entry-behind']);
    drain.hear('e1', reply(VERSION));
    t.same(drain.blockers(), ['start-window', 'start-window']);
    drain.clock.advance(SETTLE_MS);
    t.same(drain.blockers(), ['start-window', 'start-window'], 'the reports are from before');
    drain.hear('e0', reply(VERSION));
    drain.hear('e1', reply(VERSION));
    t.ok(drain.tracker.isDrained('a0'));
  });

  it('a grant sent at the end of its window is seen', (t) => {
    const drain = new Drain(['e0']);
    drain.hear('e0', reply(VERSION));
    drain.blockers();
    drain.clock.advance(SETTLE_MS - 1);
    drain.hear('e0', reply(VERSION));
    t.notOk(drain.tracker.isDrained('a0'), 'a query sent before the window ended proves nothing');
    drain.clock.advance(1);
    drain.hear('e0', reply(VERSION, 1));
    t.same(drain.blockers(), ['open-runs']);
  });

  it('an entry that begins with an older version holds the drain up', (t) => {
    const drain = new Drain(['e0']);
    drain.hear('e0', reply(VERSION));
    drain.tracker.expect(['e9']);
    t.same(drain.blockers(), ['entry-behind']);
    drain.hear('e9', reply(VERSION - 1));
    t.same(drain.blockers(), ['entry-behind']);
  });

  it('a silent entry is waited for until the lease of all its work has lapsed', (t) => {
    const drain = new Drain(['e0', 'e1']);
    const hearFirst = (): void => drain.hear('e0', reply(VERSION));
    drain.clock.advance(BOUND_MS - 1);
    hearFirst();
    t.same(drain.blockers(), ['entry-silent']);
    drain.clock.advance(1);
    drain.blockers();
    drain.clock.advance(SETTLE_MS);
    hearFirst();
    t.ok(drain.tracker.isDrained('a0'));
  });

  it('an instance that was never closed is not drained', (t) => {
    t.notOk(new DrainTracker(new ManualClock()).isDrained('a0'));
  });
});
