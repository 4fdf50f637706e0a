import { describe, it } from '@acaciadock/core/testing';
import { Random } from '@acaciadock/core';
import { type TargetBehaviour } from '@acaciadock/testkit';
import { EntryFleet } from '../EntryFleet.js';

const SEED = 6_001;
const MIXED_REQUESTS = 120;

const services = {
  advice: { idempotent: true, maxAttempts: 1, taskLeaseMs: 1_000, maxAnswerBytes: 1_000_000 },
  retried: { idempotent: true, maxAttempts: 4, taskLeaseMs: 1_000, maxAnswerBytes: 1_000_000 },
};

async function withFleet(run: (fleet: EntryFleet) => Promise<void>): Promise<void> {
  const fleet = new EntryFleet({ seed: SEED, services, entries: 2, targets: 3 });
  await fleet.start();
  await run(fleet);
  await fleet.stop();
}

describe('A caller receives the complete answer to its own request', () => {
  const cases: readonly [TargetBehaviour, string | undefined, string | undefined][] = [
    ['answer', undefined, undefined],
    ['answer-chunked', undefined, undefined],
    ['cut-before-run', 'answer-incomplete', 'unknown'],
    ['cut-after-run', 'answer-incomplete', 'unknown'],
    ['cut-midway', 'answer-incomplete', 'unknown'],
    ['cut-chunks', 'answer-incomplete', 'unknown'],
    ['no-length', 'answer-incomplete', 'unknown'],
    ['crossed', 'answer-crossed', 'unknown'],
    ['oversize', 'answer-too-large', 'yes'],
    ['silent', 'no-first-byte', 'unknown'],
    ['stall', 'answer-stalled', 'unknown'],
    ['fail-fast', 'target-failed', 'yes'],
    ['reject', 'target-rejected', 'yes'],
    ['refuse', 'target-busy', 'no'],
    ['crossed-refusal', 'answer-crossed', 'unknown'],
  ];
  it('or a typed problem, for each behaviour of a target', async (t) => {
    await withFleet(async (fleet) => {
      for (const [behaviour, problem, executed] of cases) {
        fleet.targets.forEach((target) => Object.assign(target, { behave: () => behaviour }));
        const answer = await fleet.send(0, { body: `job-${behaviour}` });
        t.equal(answer.problem, problem, behaviour);
        t.equal(answer.executed, executed, `${behaviour}: executed`);
        if (problem === undefined) t.match(answer.text, `"job":"job-${behaviour}"`);
      }
    });
  });

  it('when answers are delayed, cut off and swapped between requests at random', async (t) => {
    const random = new Random(SEED);
    const behaviours: TargetBehaviour[] = ['answer', 'crossed', 'cut-midway', 'cut-after-run'];
    await withFleet(async (fleet) => {
      fleet.targets.forEach((target) => {
        Object.assign(target, {
          behave: () => random.pick(behaviours),
          runMs: () => random.integer(0, 30),
        });
      });
      const jobs = Array.from({ length: MIXED_REQUESTS }, (_, index) => `job-${index}`);
      const answers = await Promise.all(
        jobs.map((body, index) => fleet.send(index % 2, { serviceId: 'retried', body })),
      );
      const foreign = answers.filter(
        ({ statusCode, text }, index) =>
          statusCode === 200 && (JSON.parse(text) as { job: string }).job !== jobs[index],
      );
      const untyped = answers.filter(
        ({ statusCode, problem }) => statusCode !== 200 && problem === undefined,
      );
      t.same(foreign, [], `no caller received the answer to another request (seed ${SEED})`);
      t.same(untyped, [], 'every failure has a problem type');
      t.ok(answers.some(({ statusCode }) => statusCode === 200));
    });
  });
});
