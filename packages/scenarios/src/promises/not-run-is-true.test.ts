import { describe, it } from '@acaciadock/core/testing';
import { Random } from '@acaciadock/core';
import { type TargetBehaviour } from '@acaciadock/testkit';
import { EntryFleet, type EntryFleetOptions } from '../EntryFleet.js';

const SEED = 6_002;
const MIXED_REQUESTS = 150;

const lease = { taskLeaseMs: 1_000 };
const services = {
  advice: { idempotent: true, maxAttempts: 2, ...lease },
  filing: { idempotent: false, maxAttempts: 3, ...lease },
};

async function withFleet(
  options: Partial<EntryFleetOptions>,
  run: (fleet: EntryFleet) => Promise<void>,
): Promise<void> {
  const fleet = new EntryFleet({ seed: SEED, services, targets: 2, ...options });
  await fleet.start();
  await run(fleet);
  await fleet.stop();
}

describe('A request that is reported as not run did not run', () => {
  it('when its first attempt lost its connection and its second was refused: it is reported as unknown', async (t) => {
    await withFleet({}, async (fleet) => {
      const planned: TargetBehaviour[] = ['cut-after-run', 'refuse'];
      const behave = (): TargetBehaviour => planned.shift() ?? 'refuse';
      fleet.targets.forEach((target) => Object.assign(target, { behave }));
      const answer = await fleet.send(0, { body: 'job' });
      t.equal(fleet.runsOf('job'), 1);
      t.equal(answer.executed, 'unknown');
    });
  });

  it('when the target closes a kept-alive connection as the request arrives: it is reported as unknown', async (t) => {
    await withFleet({}, async (fleet) => {
      await fleet.send(0, { serviceId: 'filing', body: 'first' });
      const behave = (): TargetBehaviour => 'cut-before-run';
      fleet.targets.forEach((target) => Object.assign(target, { behave }));
      const answer = await fleet.send(0, { serviceId: 'filing', body: 'second' });
      t.same([answer.problem, answer.executed], ['answer-incomplete', 'unknown']);
    });
  });

  it('when no target listens: nothing runs, and the refusal says when to retry', async (t) => {
    await withFleet({}, async (fleet) => {
      await Promise.all(fleet.targets.map((target) => target.close()));
      const answer = await fleet.send(0, { serviceId: 'filing', body: 'job' });
      t.same([answer.problem, answer.executed], ['targets-unreachable', 'no']);
      t.equal(answer.headers['retry-after'], '1');
    });
  });

  it('when the deadline passes in the queue: it is refused and does not run later', async (t) => {
    await withFleet({ targets: 1, slots: 1 }, async (fleet) => {
      fleet.targets.forEach((target) => Object.assign(target, { runMs: () => 500 }));
      const running = fleet.send(0, { body: 'long' });
      await fleet.clock.sleep(100);
      const queued = await fleet.send(0, { body: 'queued', headers: { 'x-deadline-ms': '50' } });
      t.equal(queued.executed, 'no');
      t.ok(['queue-timeout', 'deadline-unreachable'].includes(queued.problem ?? ''));
      t.equal((await running).statusCode, 200);
      await fleet.clock.sleep(100);
      t.equal(fleet.runsOf('queued'), 0);
    });
  });

  it('under a random mixture of faults and deadlines', async (t) => {
    const random = new Random(SEED);
    const behaviours: TargetBehaviour[] = [
      'answer',
      'refuse',
      'cut-before-run',
      'cut-after-run',
      'crossed-refusal',
      'slow',
    ];
    await withFleet({ entries: 2, targets: 3, slots: 4 }, async (fleet) => {
      const behave = (): TargetBehaviour => random.pick(behaviours) ?? 'answer';
      fleet.targets.forEach((target) => Object.assign(target, { behave }));
      const jobs = Array.from({ length: MIXED_REQUESTS }, (_, index) => `job-${index}`);
      const answers = await Promise.all(
        jobs.map((body, index) =>
          fleet.send(index % 2, {
            serviceId: index % 3 === 0 ? 'filing' : 'advice',
            body,
            headers: { 'x-deadline-ms': String(random.integer(100, 3_000)) },
          }),
        ),
      );
      const notRun = jobs.filter((_, index) => answers[index]?.executed === 'no');
      t.ok(notRun.length > 0, `seed ${SEED}: ${notRun.length} reported as not run`);
      t.same(
        notRun.filter((job) => fleet.runsOf(job) > 0),
        [],
        'none of the requests reported as not run did run',
      );
    });
  });
});
