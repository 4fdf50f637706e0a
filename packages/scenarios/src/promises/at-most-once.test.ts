import { describe, it } from '@acaciadock/core/testing';
import { Random } from '@acaciadock/core';
import { CLAIMS_STREAM } from '@acaciadock/platform';
import { type TargetBehaviour } from '@acaciadock/testkit';
import { type CallerAnswer } from '../CallerAnswer.js';
import { EntryFleet, type EntryFleetOptions } from '../EntryFleet.js';

const SEED = 6_003;
const DUPLICATES = 12;
const MIXED_REQUESTS = 120;

const services = { filing: { idempotent: false, maxAttempts: 3, taskLeaseMs: 2_000 } };

async function withFleet(
  run: (fleet: EntryFleet) => Promise<void>,
  options: Partial<EntryFleetOptions> = {},
): Promise<void> {
  const fleet = new EntryFleet({ seed: SEED, services, entries: 3, targets: 3, ...options });
  await fleet.start();
  await run(fleet);
  await fleet.stop();
}

function sendKeyed(
  fleet: EntryFleet,
  index: number,
  key: string,
  body = key,
): Promise<CallerAnswer> {
  // Rounded down to 1,000 s, so that duplicates carry the same time.
  const idempotencyTime = String(1_000 * Math.floor(fleet.clock.unixMs() / 1_000_000) * 1_000);
  return fleet.send(index, {
    serviceId: 'filing',
    body,
    headers: { 'idempotency-key': key, 'x-idempotency-time': idempotencyTime },
  });
}

/**
 * Sends keyed requests to each entry until one is answered: an entry accepts claims only after it
 * has read those that the log retains.
 */
async function waitUntilClaimsAccepted(fleet: EntryFleet): Promise<void> {
  for (let index = 0; index < fleet.entries.length; index += 1) {
    let answer = await sendKeyed(fleet, index, `warm-${index}`);
    while (answer.statusCode !== 200) answer = await sendKeyed(fleet, index, `warm-${index}`);
  }
}

describe('A non-idempotent request runs at most once', () => {
  it('when its duplicates reach all entries at once, and all receive the same answer', async (t) => {
    await withFleet(async (fleet) => {
      await waitUntilClaimsAccepted(fleet);
      const answers = await Promise.all(
        Array.from({ length: DUPLICATES }, (_, index) => sendKeyed(fleet, index % 3, 'dossier-1')),
      );
      t.equal(fleet.runsOf('dossier-1'), 1);
      t.same(
        answers.map(({ statusCode }) => statusCode),
        Array(DUPLICATES).fill(200),
      );
      t.equal(new Set(answers.map(({ text }) => text)).size, 1);
    });
  });

  it('when it is repeated after its answer was lost with the entry that held it', async (t) => {
    await withFleet(async (fleet) => {
      await waitUntilClaimsAccepted(fleet);
      t.equal((await sendKeyed(fleet, 0, 'dossier-2')).statusCode, 200);
      fleet.kill(0);
      const repeat = await sendKeyed(fleet, 1, 'dossier-2');
      t.same([repeat.problem, repeat.executed], ['already-accepted', 'unknown']);
      t.equal(fleet.runsOf('dossier-2'), 1);
    });
  });

  it('when the responses of the log are lost after the claims were appended', async (t) => {
    await withFleet(async (fleet) => {
      await waitUntilClaimsAccepted(fleet);
      Object.assign(fleet.log.faults, { loseAppendAnswers: 2 });
      const answers = await Promise.all(
        [0, 1, 2].map((index) => sendKeyed(fleet, index, 'dossier-3')),
      );
      t.equal(fleet.runsOf('dossier-3'), 1);
      t.ok(answers.some(({ statusCode }) => statusCode === 200));
    });
  });

  it('when the log is down: it is reported as not run, and its key can be used later', async (t) => {
    await withFleet(async (fleet) => {
      await waitUntilClaimsAccepted(fleet);
      Object.assign(fleet.log.faults, { down: true });
      const refused = await sendKeyed(fleet, 0, 'dossier-4');
      t.same([refused.problem, refused.executed], ['log-unavailable', 'no']);
      t.equal(fleet.runsOf('dossier-4'), 0);
      Object.assign(fleet.log.faults, { down: false });
      let answer = await sendKeyed(fleet, 1, 'dossier-4');
      while (answer.executed === 'no') answer = await sendKeyed(fleet, 1, 'dossier-4');
      t.equal(answer.statusCode, 200);
      t.equal(fleet.runsOf('dossier-4'), 1);
    });
  });

  it('and its key may be used again after the targets refused it', async (t) => {
    await withFleet(async (fleet) => {
      await waitUntilClaimsAccepted(fleet);
      fleet.targets.forEach((target) => Object.assign(target, { leaving: true }));
      t.equal((await sendKeyed(fleet, 0, 'dossier-5')).executed, 'no');
      fleet.targets.forEach((target) => Object.assign(target, { leaving: false }));
      const repeat = await sendKeyed(fleet, 2, 'dossier-5');
      t.equal(repeat.statusCode, 200);
      t.equal(fleet.runsOf('dossier-5'), 1);
    });
  });

  it('and its key is refused with another body', async (t) => {
    await withFleet(async (fleet) => {
      await waitUntilClaimsAccepted(fleet);
      await sendKeyed(fleet, 0, 'dossier-6', 'six');
      const other = await sendKeyed(fleet, 1, 'dossier-6', 'seven');
      t.same([other.problem, other.executed], ['idempotency-key-reused', 'no']);
      t.equal(fleet.runsOf('seven'), 0);
    });
  });

  it('when its key is older than the log retains claims: it is refused', async (t) => {
    await withFleet(async (fleet) => {
      const answer = await fleet.send(0, {
        serviceId: 'filing',
        body: 'old',
        headers: { 'idempotency-key': 'old', 'x-idempotency-time': '1' },
      });
      t.same([answer.problem, answer.executed], ['claim-expired', 'no']);
    });
  });

  it('under lost connections, lost responses of the log and duplicates together', async (t) => {
    const random = new Random(SEED);
    const behaviours: TargetBehaviour[] = ['answer', 'refuse', 'cut-before-run', 'cut-after-run'];
    await withFleet(async (fleet) => {
      await waitUntilClaimsAccepted(fleet);
      const behave = (): TargetBehaviour => random.pick(behaviours) ?? 'answer';
      fleet.targets.forEach((target) => Object.assign(target, { behave }));
      Object.assign(fleet.log.faults, { loseAppendAnswers: 5, refuseAppends: 3 });
      const jobs = Array.from({ length: MIXED_REQUESTS }, (_, index) => `job-${index}`);
      await Promise.all(
        jobs.flatMap((job, index) => {
          const unkeyed = { serviceId: 'filing', body: `bare-${job}` };
          const duplicates = [0, 1].map((place) => sendKeyed(fleet, (index + place) % 3, job));
          return [...duplicates, fleet.send(index % 3, unkeyed)];
        }),
      );
      const executedTwice = jobs
        .flatMap((job) => [job, `bare-${job}`])
        .filter((job) => fleet.runsOf(job) > 1);
      t.same(executedTwice, [], `seed ${SEED}`);
      t.ok(fleet.log.records(CLAIMS_STREAM).length > 0);
    });
  });
});
