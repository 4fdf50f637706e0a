/** Tests the stored form of jobs and the transitions of their state machine. */
import { describe, it } from '@acaciadock/core/testing';
import fc from 'fast-check';
import { Job } from './Job.js';
import { JobCodec } from './JobCodec.js';
import { type JobDefinition, jobSpecSchema } from './JobSpec.js';

function definition(change: Partial<JobDefinition> = {}, repeatCount = 0): JobDefinition {
  const schedule =
    repeatCount > 0 ? { firstDueUnixMs: 1_000, periodMs: 500, repeatCount } : undefined;
  return {
    jobId: 'j',
    queueId: 'q',
    poolId: 'p',
    teamId: 't',
    priority: 0,
    maxAttempts: 2,
    stretch: 1,
    targetLatencyMs: 0,
    acceptedUnixMs: 0,
    isBeyondShare: false,
    spec: jobSpecSchema.parse({
      spec: '',
      steps: [{ taskCount: 2 }, { taskCount: 1, afterSteps: [0] }],
      schedule,
    }),
    ...change,
  };
}

function finishTask(job: Job, occurrence: number, step: number, task: number): void {
  const place = job.find(occurrence, step, task)!;
  const { run } = place.task.addRun('target', 1);
  job.endRun(place, run, 'done', '');
}

function startedJob(): Job {
  const job = new Job(definition());
  finishTask(job, 0, 0, 0);
  job.find(0, 0, 1)!.task.addRun('b', 6);
  job.markStarted();
  return job;
}

/** Restores a job from all its records. */
function restoreAll(job: Job): Job {
  const restored = new Job(job.definition);
  JobCodec.restoreProgress(restored, JobCodec.encodeProgress(job));
  job.takeChangedParts().forEach((part) => {
    const record = JobCodec.decodePart(JobCodec.encodePart(job, part));
    JobCodec.applyPart(restored, part, record._unsafeUnwrap());
  });
  return restored;
}

const MAX_RECORD_BYTES = 262_144;

describe('the definition of a job', () => {
  it('is refused if it would not fit into a record of the store', (t) => {
    // Fails if short steps in a body of permitted size become a definition that the store always refuses.
    const step = { taskCount: 1, image: 'i'.repeat(700) };
    const steps = Array.from({ length: 256 }, () => step);
    t.notOk(jobSpecSchema.safeParse({ spec: '', steps }).success);
    const fitting = jobSpecSchema.parse({ spec: '', steps: steps.slice(0, 200) });
    t.ok(JobCodec.encodeDefinition(definition({ spec: fitting })).length < MAX_RECORD_BYTES);
  });
});

describe('the records of a job with many tasks', () => {
  const steps = [{ taskCount: 10_000 }, { taskCount: 300, afterSteps: [0] }];
  const large = definition({ spec: jobSpecSchema.parse({ spec: '', steps }) });

  it('each stay below the limit of the store, whatever has run', (t) => {
    // Fails if one record has the progress of all tasks: the store refuses it for good.
    const job = new Job(large);
    const checkpoint = 'c'.repeat(64);
    job.occurrences.get(0)?.steps[0]?.tasks.forEach((task) => {
      task.addRun('t'.repeat(40), 1_796_493_741_181);
      task.addRun('u'.repeat(40), 1_796_493_741_181);
      task.recordCheckpoint(checkpoint);
    });
    const sizes = job.takeChangedParts().map((part) => JobCodec.encodePart(job, part).length);
    t.ok(Math.max(...sizes, JobCodec.encodeProgress(job).length) < MAX_RECORD_BYTES);
  });

  it('each stay below the limit with the longest ids of targets and checkpoints that the store permits', (t) => {
    // Fails if the length of something that others choose is not bounded.
    const job = new Job(large);
    const targetId = 'é'.repeat(127);
    job.occurrences.get(0)?.steps[0]?.tasks.forEach((task) => {
      task.addRun(targetId, Date.now() + 0.123, true);
      task.addRun(targetId, Date.now() + 0.123, true);
      Object.assign(task, { lastRun: 1e15, crashes: 9, earlyCrashes: 9, failures: 99 });
      task.recordCheckpoint('€'.repeat(400));
      const ref = { digest: 'd'.repeat(32), parts: 5 };
      Object.assign(task, { storedCheckpoint: { ref, text: task.checkpoint } });
    });
    const sizes = job.takeChangedParts().map((part) => JobCodec.encodePart(job, part).length);
    t.ok(Math.max(...sizes, JobCodec.encodeProgress(job).length) < MAX_RECORD_BYTES);
  });

  it('restore every task', (t) => {
    const job = new Job(large);
    [0, 255, 256, 9_999].forEach((task) => finishTask(job, 0, 0, task));
    job.find(0, 1, 299)!.task.addRun('b', 6);
    const restored = restoreAll(job);
    t.ok([0, 255, 256, 9_999].every((task) => restored.find(0, 0, task)?.task.done));
    t.equal(restored.find(0, 1, 299)?.task.runs.length, 1);
    t.equal(restored.liveTasks().length, 1);
  });

  it('name only the parts that have changed', (t) => {
    const job = new Job(large);
    finishTask(job, 0, 0, 300);
    t.same(job.takeChangedParts(), [{ occurrence: 0, step: 0, part: 1 }]);
    t.same(job.takeChangedParts(), []);
  });

  it('are not read as the progress of a job without started tasks by an earlier version', (t) => {
    // Fails if an earlier version takes the tasks for tasks that were never started, and runs them again.
    const record = JSON.parse(JobCodec.encodeProgress(new Job(large)).toString()) as object;
    t.notOk('occurrences' in record || 'ended' in record);
  });

  it('stay small after very many occurrences, with as many open as may be', (t) => {
    const job = new Job(definition({}, 1_000_000));
    for (let index = 0; index < 400_000; index += 2) {
      job.endedOccurrences.add(index);
      if (index > 5_000) job.endedOccurrences.add(index + 1);
    }
    job.openDue(Infinity);
    t.ok(job.hasParts);
    t.ok(JobCodec.encodeProgress(job).length < MAX_RECORD_BYTES);
    const restored = restoreAll(job);
    t.equal(restored.endedOccurrences.size, job.endedOccurrences.size);
    t.same([...restored.occurrences.keys()], [...job.occurrences.keys()]);
  });
});

describe('the crashes of targets that ran a task', () => {
  it('survive a change of owner, so that they are not counted anew', (t) => {
    const job = startedJob();
    const { task } = job.find(0, 0, 1)!;
    task.recordCrash({ isEarly: true, isCounted: true });
    task.recordCrash({ isEarly: false, isCounted: true });
    task.addRun('c', 7, true);
    const restored = new Job(definition());
    t.ok(JobCodec.restoreProgress(restored, JobCodec.encodeProgress(job)).isOk());
    t.match(restored.find(0, 0, 1)?.task, { crashes: 2, earlyCrashes: 1, isSuspect: true });
    t.match(restored.find(0, 0, 1)?.task.runs.at(-1), { targetId: 'c', isAlone: true });
  });

  it('are none in a record without them, as earlier versions wrote', (t) => {
    const encoded = JobCodec.encodeProgress(startedJob());
    t.notOk(encoded.toString().includes('rashes'));
    const restored = new Job(definition());
    t.ok(JobCodec.restoreProgress(restored, encoded).isOk());
    t.match(restored.find(0, 0, 1)?.task, { crashes: 0, earlyCrashes: 0, isSuspect: false });
  });
});

describe('Job', () => {
  it('opens a step only after the steps before it have ended', (t) => {
    const job = new Job(definition());
    finishTask(job, 0, 0, 0);
    t.same(
      job.occurrences.get(0)?.openSteps.map((step) => step.index),
      [0],
    );
    finishTask(job, 0, 0, 1);
    t.same(
      job.occurrences.get(0)?.openSteps.map((step) => step.index),
      [1],
    );
  });

  it('has begun only once a run has begun on a target', (t) => {
    // Fails if a run that was planned and never began takes the job off the waiting count.
    const job = new Job(definition());
    const place = job.find(0, 0, 0)!;
    const { run } = place.task.addRun('target', 1);
    t.notOk(job.hasBegun);
    job.endRun(place, run, 'lost', '');
    t.notOk(job.hasBegun);
    place.task.markBegun();
    t.ok(job.hasBegun);
    const failed = new Job(definition());
    failed.endRun(
      failed.find(0, 0, 0)!,
      failed.find(0, 0, 0)!.task.addRun('b', 1).run,
      'failed',
      '',
    );
    t.ok(failed.hasBegun);
  });

  it('runs out of attempts only through failed runs, not through lapsed or stopped ones', (t) => {
    const job = new Job(definition());
    const place = job.find(0, 0, 0)!;
    (['lapsed', 'stopped', 'lost', 'failed'] as const).forEach((end) => {
      job.endRun(place, place.task.addRun('target', 1).run, end, '');
    });
    t.notOk(job.isOutOfAttempts(place));
    job.endRun(place, place.task.addRun('target', 1).run, 'failed', '');
    t.ok(job.isOutOfAttempts(place));
  });

  it('does not run out of attempts while another run of the task may still be done', (t) => {
    // Fails if the failure of a copy fails a job whose first run then succeeds.
    const job = new Job(definition());
    const place = job.find(0, 0, 0)!;
    const [first, copy] = ['a', 'b'].map((targetId) => place.task.addRun(targetId, 1).run);
    place.task.recordFailure('c');
    job.endRun(place, copy!, 'failed', '');
    t.notOk(job.isOutOfAttempts(place));
    job.endRun(place, first!, 'failed', '');
    t.ok(job.isOutOfAttempts(place));
  });

  it('keeps no occurrence whose last run ends after all its tasks are done', (t) => {
    // Fails if an occurrence is closed only by the end that completes a task.
    const job = new Job(definition({}, 2));
    job.openDue(1_000);
    const place = job.find(0, 0, 0)!;
    const copy = place.task.addRun('b', 1).run;
    finishTask(job, 0, 0, 0);
    finishTask(job, 0, 0, 1);
    finishTask(job, 0, 1, 0);
    t.ok(job.occurrences.has(0));
    job.endRun(place, copy, 'stopped', '');
    t.notOk(job.occurrences.has(0));
  });

  it('ignores the end of a run that is not alive', (t) => {
    const job = new Job(definition());
    const place = job.find(0, 0, 0)!;
    place.task.addRun('target', 1);
    t.notOk(job.endRun(place, 7, 'done', ''));
    t.notOk(place.task.done);
  });

  it('opens occurrences when they are due and is complete after the last one', (t) => {
    const job = new Job(definition({}, 2));
    t.equal(job.openDue(900).length, 0);
    t.equal(job.openDue(1_600).length, 2);
    [0, 1].forEach((occurrence) => {
      finishTask(job, occurrence, 0, 0);
      finishTask(job, occurrence, 0, 1);
      t.notOk(job.isComplete);
      finishTask(job, occurrence, 1, 0);
    });
    t.ok(job.isComplete);
  });
});

describe('a scheduled job that was cancelled', () => {
  it('is restored with its live runs', (t) => {
    // Fails if a finished job opens no occurrences: its runs then count neither for its team nor on targets.
    const job = new Job(definition({}, 3));
    job.openDue(1_600);
    job.find(1, 0, 1)!.task.addRun('a', 1);
    job.finish('cancelled', 1_700);
    const restored = restoreAll(job);
    t.equal(restored.status, 'cancelled');
    t.equal(restored.liveTasks().length, 1);
  });
});

describe('Job with very many occurrences due at once', () => {
  it('opens a bounded number of them, and the next as earlier ones end', (t) => {
    // Fails if one submission with a short period and no start time exhausts the memory.
    const job = new Job(definition({}, 1_000_000));
    const opened = job.openDue(1e12).length;
    t.ok(opened > 0 && opened < 20_000);
    t.equal(job.openDue(1e12).length, 0);
    finishTask(job, 0, 0, 0);
    finishTask(job, 0, 0, 1);
    finishTask(job, 0, 1, 0);
    t.equal(job.openDue(1e12).length, 1);
  });

  it('restores the same open occurrences', (t) => {
    const job = new Job(definition({}, 100_000));
    job.openDue(1e12);
    finishTask(job, 0, 0, 0);
    finishTask(job, 0, 0, 1);
    finishTask(job, 0, 1, 0);
    job.openDue(1e12);
    [...job.occurrences.values()].forEach(({ index }) => {
      job.find(index, 0, 0)!.task.addRun('a', 1);
    });
    const restored = restoreAll(job);
    t.same([...restored.occurrences.keys()], [...job.occurrences.keys()]);
    t.ok([...restored.occurrences.values()].every(({ steps }) => steps.some((s) => s.hasStarted)));
  });
});

describe('JobCodec', () => {
  it('reads a definition that lacks the share, as an earlier build may have written it', (t) => {
    // Fails if the job is skipped as unreadable: a repeat of its submission would run it again.
    const stored = JSON.stringify({ ...definition(), isBeyondShare: undefined });
    const decoded = JobCodec.decodeDefinition(Buffer.from(stored));
    t.equal(decoded.isOk() && decoded.value.isBeyondShare, false);
  });

  it('restores done tasks, failures, checkpoints and live runs', (t) => {
    const job = new Job(definition());
    finishTask(job, 0, 0, 0);
    const place = job.find(0, 0, 1)!;
    job.endRun(place, place.task.addRun('a', 5).run, 'failed', 'cp');
    place.task.addRun('b', 6);
    job.markStarted();
    const restored = new Job(
      JobCodec.decodeDefinition(JobCodec.encodeDefinition(definition()))._unsafeUnwrap(),
    );
    JobCodec.restoreProgress(restored, JobCodec.encodeProgress(job));
    t.equal(restored.status, 'running');
    t.ok(restored.find(0, 0, 0)?.task.done);
    t.match(restored.find(0, 0, 1)?.task, { failures: 1, checkpoint: 'cp', lastRun: 2 });
    t.same(restored.find(0, 0, 1)?.task.runs, [{ run: 2, targetId: 'b', bornMs: 6 }]);
  });

  it('reports an unreadable record as an error', (t) => {
    const failure = JobCodec.restoreProgress(new Job(definition()), Buffer.from('{"status"'));
    t.equal(failure._unsafeUnwrapErr().kind, 'record-unreadable');
  });

  it('reports any malformed record as an error and throws nothing', (t) => {
    // Fails if a record is used without a check of its fields: an exception while the journal is
    // loaded ends the takeover, and the next entry that claims meets the same record.
    const encoded = [
      JSON.parse(String(JobCodec.encodeDefinition(definition()))),
      JSON.parse(String(JobCodec.encodeProgress(startedJob()))),
    ] as Record<string, unknown>[];
    const change = fc.record({
      record: fc.constantFrom(...encoded),
      key: fc.constantFrom(...encoded.flatMap((record) => Object.keys(record))),
      value: fc.jsonValue(),
    });
    const bytes = fc.oneof(
      fc.jsonValue().map((value) => JSON.stringify(value)),
      change.map(({ record, key, value }) => JSON.stringify({ ...record, [key]: value })),
      fc.string(),
    );
    fc.assert(
      fc.property(bytes, (text) => {
        const decoded = JobCodec.decodeDefinition(Buffer.from(text));
        if (decoded.isOk()) t.ok(new Job(decoded.value).openDue(1_000));
        JobCodec.restoreProgress(new Job(definition()), Buffer.from(text));
      }),
      { seed: 1, numRuns: 2_000 },
    );
    t.equal(JobCodec.decodeDefinition(Buffer.from('{}')).isErr(), true);
    t.equal(JobCodec.restoreProgress(new Job(definition()), Buffer.from('null')).isErr(), true);
  });
});
