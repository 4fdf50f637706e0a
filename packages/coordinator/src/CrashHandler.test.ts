/** Guards against crashes that go uncounted, and against blaming the wrong task for one. */
import { describe, it } from '@acaciadock/core/testing';
import { RunFixture } from './testing/RunFixture.js';

describe('CrashHandler', () => {
  describe('a task alone with its second crash', () => {
    it('is given up, and its job fails', (t) => {
      const fixture = new RunFixture(2);
      const job = fixture.accept('a');
      fixture.start(job, 't0');
      fixture.crash('t0');
      t.equal(job.status, 'running');
      fixture.start(job, 't1');
      fixture.crash('t1');
      t.equal(job.status, 'failed');
      const [note] = fixture.logger.of('task-given-up');
      t.match(note, { taskId: 'a.0.0.0', crashes: 2, earlyCrashes: 2 });
    });

    it('is kept if it had been at work for a while', (t) => {
      const fixture = new RunFixture(2);
      const job = fixture.accept('a');
      for (const targetId of ['t0', 't1']) {
        fixture.start(job, targetId);
        fixture.work(5_000);
        fixture.crash(targetId);
      }
      t.equal(job.status, 'running');
    });

    it('is kept if tasks of other jobs had only just started there, too', (t) => {
      const fixture = new RunFixture(2);
      const jobs = ['a', 'b'].map((jobId) => fixture.accept(jobId));
      for (const targetId of ['t0', 't1']) {
        jobs.forEach((job) => fixture.start(job, targetId));
        fixture.crash(targetId);
      }
      t.same(
        jobs.map(({ status }) => status),
        ['running', 'running'],
      );
    });

    it('is kept if the start was never answered, as it may not have begun', (t) => {
      const fixture = new RunFixture(2);
      const job = fixture.accept('a');
      for (const targetId of ['t0', 't1']) {
        const live = fixture.start(job, targetId);
        Object.assign(live, { phase: 'uncertain', isConfirmed: false });
        fixture.crash(targetId);
      }
      t.equal(job.status, 'running');
    });
  });

  it('gives up a task that was alone each time, although a new owner has seen neither start', (t) => {
    const fixture = new RunFixture(2);
    const job = fixture.accept('a');
    const neighbour = fixture.accept('b', { taskCount: 2 });
    ['t0', 't1'].forEach((targetId, index) => {
      fixture.start(neighbour, targetId, index);
      const live = fixture.start(job, targetId);
      Object.assign(live, { isAlone: true });
      fixture.target(targetId).runs.forEach((run) => {
        Object.assign(run, { phase: 'uncertain', isConfirmed: false });
      });
      fixture.crash(targetId);
    });
    t.equal(job.status, 'failed');
    t.equal(neighbour.status, 'running');
  });

  it('blames none of two jobs that were each alone, if a new owner has not seen which one had settled', (t) => {
    // Fails if both count as the only suspect. Soak seeds 12 and 18 of an upgrade: a job that crashed
    // nothing was shown as failed together with the one that did.
    const fixture = new RunFixture(2);
    const jobs = ['a', 'b'].map((jobId) => fixture.accept(jobId));
    for (const targetId of ['t0', 't1']) {
      jobs.forEach((job) => {
        const live = fixture.start(job, targetId);
        Object.assign(live, { phase: 'uncertain', isConfirmed: false, isAlone: true });
      });
      fixture.crash(targetId);
    }
    t.same(
      jobs.map(({ status }) => status),
      ['running', 'running'],
    );
  });

  describe('a suspect alone on a target whose process was replaced', () => {
    /** Status of the job if the next process started so long after the start order was sent. */
    function statusAfter(bornAfterOrderMs: number): string {
      const fixture = new RunFixture(2);
      const job = fixture.accept('a');
      fixture.start(job, 't0');
      fixture.crash('t0');
      const live = fixture.start(job, 't1');
      const orderedUnixMs = fixture.clock.unixMs();
      Object.assign(live, { phase: 'uncertain', isConfirmed: false, isAlone: true, orderedUnixMs });
      Object.assign(fixture.target('t1'), { bornMs: orderedUnixMs + bornAfterOrderMs });
      fixture.crash('t1');
      return job.status;
    }

    it('is kept if that was before its start order', (t) => {
      // Fails if an order that was lost on the way counts as the cause of a crash that is noticed later.
      // Soak seed 11 of an upgrade: a job failed whose tasks had never started on that target.
      t.equal(statusAfter(-2_000), 'running');
    });

    it('is given up if that was right after its start order', (t) => {
      t.equal(statusAfter(100), 'failed');
    });
  });

  it('keeps a task however often a target was down before its start was answered', (t) => {
    const fixture = new RunFixture(6);
    const jobs = ['a', 'b'].map((jobId) => fixture.accept(jobId));
    fixture.all.forEach(({ targetId }) => {
      jobs.forEach((job) => {
        Object.assign(fixture.start(job, targetId), { phase: 'uncertain', isConfirmed: false });
      });
      fixture.crash(targetId);
    });
    t.same(
      jobs.map(({ status }) => status),
      ['running', 'running'],
    );
  });

  it('gives up a task at its fifth crash, however long it had been at work', (t) => {
    const fixture = new RunFixture(5);
    const job = fixture.accept('a');
    for (let index = 0; index < 5; index += 1) {
      t.equal(job.status, index === 0 ? 'pending' : 'running');
      fixture.start(job, `t${index}`);
      fixture.work(5_000);
      fixture.crash(`t${index}`);
    }
    t.equal(job.status, 'failed');
  });

  it('counts no crash against a settled task beside a suspect that had just started alone', (t) => {
    // Fails if a task is given up at its fifth crash although another one is the likely cause of each.
    const fixture = new RunFixture(5);
    const job = fixture.accept('a');
    for (let index = 0; index < 5; index += 1) {
      fixture.start(job, `t${index}`);
      fixture.work(5_000);
      Object.assign(fixture.start(fixture.accept(`b${index}`), `t${index}`), { isAlone: true });
      fixture.crash(`t${index}`);
    }
    t.equal(job.status, 'running');
    t.equal(job.find(0, 0, 0)?.task.crashes, 0);
  });

  it('does not count targets that drained or were emptied, as they end as planned', (t) => {
    const fixture = new RunFixture(2);
    const job = fixture.accept('a');
    fixture.start(job, 't0');
    Object.assign(fixture.target('t0'), { isReserved: true });
    fixture.crash('t0');
    t.equal(job.find(0, 0, 0)?.task.crashes, 0);
    t.same(fixture.logger.of('target-crashed'), []);
    t.match(fixture.logger.of('run-ended'), [{ end: 'lost' }]);
  });

  it('does not count a run whose start order was not sent', (t) => {
    const fixture = new RunFixture(1);
    const job = fixture.accept('a');
    Object.assign(fixture.start(job, 't0'), { phase: 'planned', isConfirmed: false });
    fixture.crash('t0');
    t.equal(job.find(0, 0, 0)?.task.crashes, 0);
  });

  it('logs the proof and how long each run had been at work', (t) => {
    const fixture = new RunFixture(1);
    fixture.start(fixture.accept('a'), 't0');
    fixture.work(700);
    fixture.start(fixture.accept('b'), 't0');
    fixture.crash('t0');
    t.match(fixture.logger.of('target-crashed'), [
      { targetId: 't0', reason: 'other-lifetime', runs: 'a.0.0.0#1:700ms b.0.0.0#1:unreported' },
    ]);
  });
});
