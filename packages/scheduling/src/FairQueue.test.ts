import { Random, type Urgency } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import fc from 'fast-check';
import { FairQueue } from './FairQueue.js';
import { type EstimateOf, type QueueItem } from './QueueDiscipline.js';
import { RunTimeEstimator } from './RunTimeEstimator.js';

const SEED = 20_261_203;
const NO_AGEING_MS = 1e12;
const SHARE_TOLERANCE = 0.03;

function item(ticketId: string, teamId: string, change: Partial<QueueItem> = {}): QueueItem {
  return {
    ticketId,
    serviceId: 's',
    teamId,
    urgency: 'background',
    acceptedAtMs: 0,
    ...change,
  };
}

function queueOf(
  shares: Readonly<Record<string, number>>,
  slots = 1,
  estimateOf: EstimateOf = () => 10,
): FairQueue<QueueItem> {
  const queue = new FairQueue<QueueItem>(estimateOf);
  queue.configure({
    shares: new Map(Object.entries(shares)),
    slots,
    urgentLeadMs: 1_000,
    ageingMs: NO_AGEING_MS,
  });
  return queue;
}

function startNext(queue: FairQueue<QueueItem>, nowMs = 0): string | undefined {
  const next = queue.peek(nowMs, true);
  if (next) queue.start(next);
  return next?.teamId;
}

function fill(queue: FairQueue<QueueItem>, teamId: string, count: number, urgency?: Urgency): void {
  Array.from({ length: count }, (_, index) =>
    queue.push(item(`${teamId}${index}${urgency}`, teamId, urgency ? { urgency } : {})),
  );
}

interface TeamLoad {
  readonly share: number;
  readonly runMs: number;
  /** The declared run time divided by the actual one. */
  readonly declaredRatio: number;
}

/**
 * Returns the slot time of each team after `durationMs` in which every team is always backlogged.
 */
function runBacklogged(teams: readonly TeamLoad[], slots: number, durationMs: number): number[] {
  const estimator = new RunTimeEstimator();
  const queue = queueOf(
    Object.fromEntries(teams.map(({ share }, team) => [`t${team}`, share])),
    slots,
    (kind) => {
      const { runMs, declaredRatio } = teams[Number(kind.teamId.slice(1))] as TeamLoad;
      return estimator.estimateMs(kind, runMs * declaredRatio);
    },
  );
  const random = new Random(SEED);
  const heldMs = teams.map(() => 0);
  const running: { endMs: number; startMs: number; chargedMs: number; run: QueueItem }[] = [];
  let next = 0;
  const push = (team: number): void => {
    next += 1;
    queue.push(item(`${next}`, `t${team}`));
  };
  teams.forEach((_, team) => [1, 2, 3].forEach(() => push(team)));
  for (let nowMs = 0; nowMs < durationMs;) {
    while (running.length < slots) {
      const run = queue.peek(nowMs, true) as QueueItem;
      const team = Number(run.teamId.slice(1));
      const chargedMs = queue.start(run);
      push(team);
      const runMs = (teams[team] as TeamLoad).runMs * (0.5 + random.next());
      running.push({ startMs: nowMs, endMs: nowMs + runMs, chargedMs, run });
    }
    running.sort((a, b) => b.endMs - a.endMs);
    const ended = running.pop() as (typeof running)[number];
    nowMs = ended.endMs;
    const runMs = ended.endMs - ended.startMs;
    queue.end(ended.run, ended.chargedMs, runMs);
    estimator.learn(ended.run, runMs);
    heldMs[Number(ended.run.teamId.slice(1))]! += runMs;
  }
  return heldMs;
}

describe('FairQueue', () => {
  describe('portions', () => {
    it(`are met within 3 % under full load, whatever run times were declared (seed ${SEED})`, (t) => {
      const team = fc.record({
        share: fc.integer({ min: 1, max: 8 }),
        runMs: fc.integer({ min: 20, max: 400 }),
        declaredRatio: fc.constantFrom(0.1, 0.5, 1, 3, 10),
      });
      fc.assert(
        fc.property(fc.array(team, { minLength: 2, maxLength: 6 }), (teams) => {
          const heldMs = runBacklogged(teams, 24, 60_000);
          const total = heldMs.reduce((sum, ms) => sum + ms, 0);
          const shares = teams.reduce((sum, { share }) => sum + share, 0);
          return teams.every(({ share }, index) => {
            const portion = share / shares;
            return Math.abs((heldMs[index] as number) / total / portion - 1) <= SHARE_TOLERANCE;
          });
        }),
        { seed: SEED, numRuns: 40 },
      );
      t.pass('the portions were met');
    });

    it('give a team no credit for time that it was idle', (t) => {
      const queue = queueOf({ a: 1, b: 1 });
      fill(queue, 'a', 100);
      Array.from({ length: 50 }, () => startNext(queue));
      fill(queue, 'b', 40);
      const started = Array.from({ length: 40 }, () => startNext(queue));
      t.equal(started.filter((team) => team === 'b').length, 20);
    });

    it('let a team that was parked catch up by a bounded amount only', (t) => {
      const queue = queueOf({ a: 1, b: 1 });
      fill(queue, 'a', 2_000);
      fill(queue, 'b', 2_000);
      queue.park('b');
      t.same(
        Array.from({ length: 500 }, () => startNext(queue)).filter((team) => team === 'b'),
        [],
      );
      queue.unpark('b');
      const started = Array.from({ length: 400 }, () => startNext(queue));
      const caughtUp = started.filter((team) => team === 'b').length - 200;
      // The bound is one second at a portion of one half, with 10 ms per ticket.
      t.ok(caughtUp > 0 && caughtUp <= 30, `caught up by ${caughtUp}`);
    });

    it('account for slot time that a team received elsewhere', (t) => {
      const queue = queueOf({ a: 1, b: 1 });
      fill(queue, 'a', 40);
      fill(queue, 'b', 40);
      queue.chargeElsewhere('a', 100);
      const started = Array.from({ length: 30 }, () => startNext(queue));
      t.equal(started.filter((team) => team === 'a').length, 10);
    });
  });

  describe('urgency', () => {
    it('goes first within the lead, and the portions are met beyond it', (t) => {
      const queue = queueOf({ a: 1, b: 1 });
      fill(queue, 'a', 500, 'urgent');
      fill(queue, 'b', 500);
      const started = Array.from({ length: 400 }, () => startNext(queue));
      const lead = started.indexOf('b');
      // A lead of one second at a portion of one half is 50 tickets of 10 ms.
      t.ok(lead >= 45 && lead <= 55, `first background start after ${lead}`);
      const later = started.slice(100);
      t.ok(Math.abs(later.filter((team) => team === 'b').length - 150) <= 2);
    });

    const cases = [
      {
        name: 'urgent tickets go first',
        urgentAtMs: 5,
        backgroundAtMs: 0,
        ageingMs: 200,
        first: 'urgent',
      },
      {
        name: 'aged background tickets go first',
        urgentAtMs: 90,
        backgroundAtMs: 0,
        ageingMs: 50,
        first: 'background',
      },
    ] as const;
    cases.forEach(({ name, urgentAtMs, backgroundAtMs, ageingMs, first }) => {
      it(`within a team: ${name}`, (t) => {
        const queue = new FairQueue<QueueItem>(() => 10);
        queue.configure({ shares: new Map([['a', 1]]), slots: 1, urgentLeadMs: 1, ageingMs });
        queue.push(item('background', 'a', { acceptedAtMs: backgroundAtMs }));
        queue.push(item('urgent', 'a', { acceptedAtMs: urgentAtMs, urgency: 'urgent' }));
        t.equal(queue.peek(100, true)?.ticketId, first);
      });
    });

    it('keeps background tickets out of the headroom', (t) => {
      const queue = queueOf({ a: 1, b: 1 });
      fill(queue, 'a', 1);
      t.equal(queue.peek(0, false), undefined);
      fill(queue, 'b', 1, 'urgent');
      t.equal(queue.peek(0, false)?.teamId, 'b');
    });
  });

  describe('removal', () => {
    it(`leaves counters and order as if the ticket had never been added (seed ${SEED})`, (t) => {
      const random = new Random(SEED);
      const queue = queueOf({ a: 1, b: 2, c: 3 });
      const ids = Array.from({ length: 10_000 }, (_, index) => `x${index}`);
      ids.forEach((id, index) => {
        const urgency = random.chance(0.5) ? 'urgent' : 'background';
        queue.push(item(id, ['a', 'b', 'c'][index % 3] as string, { urgency }));
      });
      random.shuffle(ids).forEach((id) => queue.remove(id));
      t.equal(queue.size, 0);
      t.equal(queue.urgentSize, 0);
      t.equal(queue.peek(0, true), undefined);
      t.match(queue.backlog('a', 'background'), { tickets: 0, aheadMs: 0, portion: 1 });
      t.equal(queue.remove('x1'), undefined);
    });
  });
});
