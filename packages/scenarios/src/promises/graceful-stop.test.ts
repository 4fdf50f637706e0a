import { describe, it } from '@acaciadock/core/testing';
import { type CallerAnswer } from '../CallerAnswer.js';
import { EntryFleet } from '../EntryFleet.js';

const SEED = 6_004;
const REQUESTS = 40;
const RUN_MS = 150;
const SERVICES = ['advice', 'filing'];

async function withFleet(run: (fleet: EntryFleet) => Promise<void>): Promise<void> {
  const services = { advice: { idempotent: true }, filing: { idempotent: false } };
  const fleet = new EntryFleet({ seed: SEED, entries: 2, targets: 3, services });
  await fleet.start();
  fleet.targets.forEach((target) => Object.assign(target, { runMs: () => RUN_MS }));
  await run(fleet);
  await fleet.stop();
}

function sendMany(fleet: EntryFleet, entryIndex: number): Promise<CallerAnswer>[] {
  return Array.from({ length: REQUESTS }, (_, index) =>
    fleet.send(entryIndex, {
      serviceId: index % 2 === 0 ? 'advice' : 'filing',
      body: `job-${index}`,
    }),
  );
}

/** Number of requests that an entry has received so far, including those that have ended. */
function countAccepted(fleet: EntryFleet, index: number): number {
  const entry = fleet.entries[index];
  if (!entry) return 0;
  const ended = SERVICES.map((serviceId) => entry.observability.counts.countsOf(serviceId));
  return ended.reduce(
    (sum, { answered, refused }) => sum + answered + refused,
    entry.gateway.requestsInFlight,
  );
}

function runCounts(fleet: EntryFleet): number[] {
  return Array.from({ length: REQUESTS }, (_, index) => fleet.runsOf(`job-${index}`));
}

describe('A planned stop interrupts no request in progress', () => {
  it('when an entry stops with requests queued and running', async (t) => {
    await withFleet(async (fleet) => {
      const sent = sendMany(fleet, 0);
      while (countAccepted(fleet, 0) < REQUESTS) await fleet.clock.sleep(5);
      const stopped = fleet.entries[0]?.stop();
      const answers = await Promise.all(sent);
      await stopped;
      const lost = answers.filter(({ statusCode }) => statusCode !== 200);
      t.same(lost, []);
      t.same(runCounts(fleet), Array(REQUESTS).fill(1));
    });
  });

  it('when a caller has disconnected: its non-idempotent work ends before the entry stops', async (t) => {
    await withFleet(async (fleet) => {
      const abortController = new AbortController();
      const { signal } = abortController;
      const sent = fleet.send(0, { serviceId: 'filing', body: 'job', signal });
      while (fleet.runsOf('job') === 0) await fleet.clock.sleep(5);
      abortController.abort();
      t.equal((await sent).statusCode, 0);
      await fleet.entries[0]?.stop();
      const runs = fleet.targets.flatMap((target) => target.runs);
      t.equal(runs.length, 1);
      t.ok(runs[0]?.endedAtMs !== undefined, 'the run had ended when the entry stopped');
    });
  });

  it('when a target leaves: its runs complete, and work that it refuses runs elsewhere', async (t) => {
    await withFleet(async (fleet) => {
      const sent = sendMany(fleet, 1);
      await fleet.clock.sleep(RUN_MS / 2);
      Object.assign(fleet.targets[0] ?? {}, { leaving: true });
      await fleet.patch([{ op: 'replace', path: '/instances/t0/intent', value: 'draining' }]);
      const answers = await Promise.all(sent);
      t.same(
        answers.filter(({ statusCode }) => statusCode !== 200),
        [],
      );
      t.same(runCounts(fleet), Array(REQUESTS).fill(1));
    });
  });
});
