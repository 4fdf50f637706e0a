/** Guards against jobs that are lost with each new task of a queue whose tasks crash targets. */
import { describe, it } from '@acaciadock/core/testing';
import { QueueCaution } from './QueueCaution.js';
import { type QueuedStep } from './QueuedStep.js';
import { RunFixture } from './testing/RunFixture.js';

class CautionFixture extends RunFixture {
  readonly caution = new QueueCaution(this.clock, this.logger);

  /** Lets the target fall silent right after it has started a task. */
  silenceAfterStart(targetId: string): void {
    this.start(this.accept(`on-${targetId}`), targetId);
    this.silence(targetId);
  }

  silence(targetId: string): void {
    Object.assign(this.target(targetId), { consecutiveFailures: 1 });
    this.caution.observe(this.all);
  }

  /** Lets a call to the target have no answer. */
  fail(targetId: string, consecutiveFailures: number): void {
    Object.assign(this.target(targetId), { consecutiveFailures });
    this.caution.observe(this.all);
  }

  /** Whether a new job of the queue starts as a suspect in the next pass. */
  isCautious(): boolean {
    this.caution.observe(this.all);
    const jobId = `new-${this.clock.monotonicMs()}`;
    const step = this.accept(jobId).occurrences.get(0)!.steps[0]!;
    this.caution.apply({ entry: this.jobs.get(jobId)!, step } as unknown as QueuedStep);
    return step.tasks.every((task) => task.isSuspect);
  }
}

describe('QueueCaution', () => {
  it('makes suspects of new tasks once two targets in a row fell silent at a start', (t) => {
    const fixture = new CautionFixture(2);
    fixture.silenceAfterStart('t0');
    t.notOk(fixture.isCautious(), 'a single target may fail by chance');
    fixture.clock.advance(600);
    fixture.silenceAfterStart('t1');
    t.ok(fixture.isCautious());
    t.match(fixture.logger.of('queue-suspected'), [{ queueId: 'queue' }]);
  });

  it('takes targets that fall silent together for one fault of their rack or link', (t) => {
    const fixture = new CautionFixture(3);
    ['t0', 't1', 't2'].forEach((targetId) => fixture.silenceAfterStart(targetId));
    t.notOk(fixture.isCautious());
  });

  it('does not count a target twice while it is silent', (t) => {
    const fixture = new CautionFixture(1);
    fixture.silenceAfterStart('t0');
    fixture.clock.advance(600);
    fixture.silence('t0');
    t.notOk(fixture.isCautious());
  });

  it('leaves out tasks that have settled and were lost with their target later', (t) => {
    // Fails if the tasks that each crash sets back join those that wait for an isolated target.
    const fixture = new CautionFixture(3);
    const step = fixture.accept('lost').occurrences.get(0)!.steps[0]!;
    const settled = fixture.start(fixture.jobs.get('lost')!.job, 't2');
    settled.place.task.clearSuspicion(false);
    fixture.work(1_000);
    fixture.crash('t2');
    fixture.silenceAfterStart('t0');
    fixture.clock.advance(600);
    fixture.silenceAfterStart('t1');
    t.ok(fixture.isCautious());
    fixture.caution.apply({ entry: fixture.jobs.get('lost')!, step } as unknown as QueuedStep);
    t.same(
      step.waitingTasks.map(({ isSuspect }) => isSuspect),
      [false],
    );
  });

  it('leaves out targets whose runs had been at work for a while', (t) => {
    const fixture = new CautionFixture(2);
    ['t0', 't1'].forEach((targetId) => fixture.start(fixture.accept(targetId), targetId));
    fixture.work(1_000);
    fixture.silence('t0');
    fixture.clock.advance(600);
    fixture.silence('t1');
    t.notOk(fixture.isCautious());
  });

  it('ends as soon as one of the targets answers', (t) => {
    const fixture = new CautionFixture(2);
    const waiting = fixture.accept('waiting').occurrences.get(0)!.steps[0]!;
    const queued = { entry: fixture.jobs.get('waiting')!, step: waiting } as unknown as QueuedStep;
    fixture.silenceAfterStart('t0');
    fixture.clock.advance(600);
    fixture.silenceAfterStart('t1');
    fixture.caution.apply(queued);
    t.ok(waiting.tasks.every((task) => task.isSuspect));
    fixture.fail('t0', 0);
    t.notOk(fixture.isCautious(), 'a process that answers has not crashed');
    fixture.caution.apply(queued);
    t.notOk(
      waiting.tasks.some((task) => task.isSuspect),
      'nor have its tasks a fault',
    );
  });

  it('needs several calls without an answer while answers get lost', (t) => {
    const fixture = new CautionFixture(3);
    fixture.silenceAfterStart('t0');
    fixture.fail('t0', 0);
    fixture.silenceAfterStart('t1');
    fixture.clock.advance(600);
    fixture.silenceAfterStart('t2');
    t.notOk(fixture.isCautious());
    fixture.fail('t1', 3);
    fixture.fail('t2', 3);
    t.ok(fixture.isCautious());
  });

  it('takes a new process at the same id for no answer of the former one', (t) => {
    const fixture = new CautionFixture(2);
    fixture.silenceAfterStart('t0');
    Object.assign(fixture.target('t0'), { consecutiveFailures: 0, bornMs: 99 });
    fixture.clock.advance(600);
    fixture.silenceAfterStart('t1');
    t.ok(fixture.isCautious());
  });

  it('counts a target again that crashes in a later process with other runs', (t) => {
    const fixture = new CautionFixture(2);
    fixture.silenceAfterStart('t0');
    Object.assign(fixture.target('t0'), { consecutiveFailures: 0, bornMs: 99 });
    fixture.clock.advance(5_000);
    fixture.caution.observe(fixture.all);
    fixture.start(fixture.accept('later'), 't0');
    fixture.silence('t0');
    fixture.clock.advance(600);
    fixture.silenceAfterStart('t1');
    t.ok(fixture.isCautious());
  });

  it('ends some seconds after the last sign', (t) => {
    const fixture = new CautionFixture(2);
    fixture.silenceAfterStart('t0');
    fixture.clock.advance(600);
    fixture.silenceAfterStart('t1');
    fixture.clock.advance(5_000);
    t.notOk(fixture.isCautious());
  });
});
