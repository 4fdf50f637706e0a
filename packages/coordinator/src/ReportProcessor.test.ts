/** Guards against runs that are ended although they are alive, around a restart of their target. */
import { type RunningTask } from '@acaciadock/execution';
import { describe, it } from '@acaciadock/core/testing';
import { ReportProcessor } from './ReportProcessor.js';
import { RunFixture } from './testing/RunFixture.js';

const LATER_BORN_MS = 2;

function createProcessor({ runTracker, crashes, clock, logger }: RunFixture): ReportProcessor {
  return new ReportProcessor(runTracker, crashes, clock, logger);
}

function report(bornMs: number, running: readonly RunningTask[] = []) {
  return { clockMs: 1, bornMs, running, ended: [] };
}

describe('ReportProcessor', () => {
  describe('a start that the next lifetime of its target has accepted', () => {
    it('is not ended by a report that was requested before', (t) => {
      const fixture = new RunFixture(1);
      const processor = createProcessor(fixture);
      const job = fixture.accept('a');
      const requestedMs = fixture.clock.monotonicMs();
      fixture.clock.advance(5);
      // The run was planned for the former lifetime, which nobody knew to be over.
      const live = fixture.start(job, 't0');
      processor.process(fixture.target('t0'), report(LATER_BORN_MS), requestedMs);
      t.equal(fixture.target('t0').runs.get('a.0.0.0'), live, 'it may be at work');
    });

    it('is ended by a report that was requested after it and lacks it', (t) => {
      const fixture = new RunFixture(1);
      const processor = createProcessor(fixture);
      const job = fixture.accept('a');
      fixture.start(job, 't0');
      fixture.clock.advance(5);
      const requestedMs = fixture.clock.monotonicMs();
      processor.process(fixture.target('t0'), report(LATER_BORN_MS), requestedMs);
      t.equal(fixture.target('t0').runs.size, 0);
    });
  });

  describe('the end of a run of a job that is not known any more', () => {
    it('is acknowledged, with the ends that follow', async (t) => {
      // Fails if an end that needs no record holds up the acknowledgement of all later ends of its target.
      const fixture = new RunFixture(1);
      const processor = createProcessor(fixture);
      const job = fixture.accept('a');
      fixture.start(job, 't0');
      job.finish('cancelled', 0);
      fixture.clock.advance(5);
      fixture.jobs.dropFinished(0);
      const { commit } = processor.process(fixture.target('t0'), report(1), 0.5);
      t.equal(await commit, 'durable');
      fixture.clock.advance(5);
      const requestedMs = fixture.clock.monotonicMs();
      const ended = processor.process(fixture.target('t0'), report(1), requestedMs);
      t.equal(fixture.target('t0').runs.size, 0);
      t.equal(await ended.commit, 'durable');
    });
  });
});
