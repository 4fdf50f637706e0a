/** Tests the order of waiting steps, pair by pair and under sustained overload. */
import { describe, it } from '@acaciadock/core/testing';
import { QueueOrder, type WaitingStep } from './QueueOrder.js';

interface NamedStep extends WaitingStep {
  readonly name: string;
}

const NOW_MS = 1_000_000;

function step(name: string, change: Partial<WaitingStep> = {}): NamedStep {
  return {
    name,
    priority: 0,
    isLongRunning: false,
    objectiveUnixMs: NOW_MS + 2_000,
    objectiveMs: 2_000,
    remainingMs: 800,
    isBeyondShare: false,
    ...change,
  };
}

function order(...steps: NamedStep[]): string {
  return QueueOrder.sort(steps, NOW_MS)
    .map(({ name }) => name)
    .join(' ');
}

describe('QueueOrder', () => {
  describe('between classes', () => {
    it('puts a higher priority first, however urgent the other step is', (t) => {
      const urgent = step('urgent', { priority: 1, objectiveUnixMs: NOW_MS + 1_100 });
      t.equal(order(urgent, step('first')), 'first urgent');
    });

    it('puts long-running steps before others', (t) => {
      t.equal(order(step('ends'), step('lasts', { isLongRunning: true })), 'lasts ends');
    });

    it('puts late steps behind those that can still be in time', (t) => {
      const late = step('late', { objectiveUnixMs: NOW_MS + 500 });
      t.equal(order(late, step('in-time')), 'in-time late');
    });

    it('puts steps beyond the share of their team behind all that are within it', (t) => {
      const beyond = step('beyond', { isBeyondShare: true, objectiveUnixMs: NOW_MS + 1_200 });
      const late = step('late', { objectiveUnixMs: NOW_MS + 500 });
      t.equal(order(beyond, late, step('owed')), 'owed late beyond');
    });

    it('puts worthless steps last', (t) => {
      const worthless = step('worthless', { objectiveUnixMs: NOW_MS - 9_000 });
      const beyond = step('beyond', { isBeyondShare: true });
      t.equal(order(worthless, beyond), 'beyond worthless');
    });
  });

  describe('within a class', () => {
    it('puts the least slack first', (t) => {
      const near = step('near', { objectiveUnixMs: NOW_MS + 1_500 });
      const long = step('long', { remainingMs: 1_400 });
      t.equal(order(step('easy'), near, long), 'long near easy');
    });

    it('puts a job that was refused because of load before new ones', (t) => {
      const returned = step('returned', { hasReturned: true, objectiveUnixMs: NOW_MS + 3_000 });
      t.equal(order(step('new'), returned), 'returned new');
    });

    it('puts jobs that have started before others, even before those with less slack', (t) => {
      // Fails if started jobs wait for new ones, become late and have run their first steps in vain.
      const started = step('started', { hasStarted: true, objectiveUnixMs: NOW_MS + 3_000 });
      const returned = step('returned', { hasReturned: true });
      t.equal(order(step('new'), returned, started), 'started returned new');
    });

    it('puts late jobs that have started behind new ones that can be in time', (t) => {
      const late = step('late', { hasStarted: true, objectiveUnixMs: NOW_MS + 700 });
      t.equal(order(late, step('new')), 'new late');
    });

    it('counts a job that has started as in time until its slack is used up', (t) => {
      // Fails if the margin of the estimate puts a started job behind all new ones.
      const edge = step('edge', { hasStarted: true, objectiveUnixMs: NOW_MS + 800 });
      t.equal(order(step('new'), edge), 'edge new');
    });

    it('counts slack below the margin of the estimate as late', (t) => {
      const tight = step('tight', { objectiveUnixMs: NOW_MS + 900 });
      t.equal(order(tight, step('easy')), 'easy tight');
    });
  });

  describe('with an order of teams', () => {
    it('applies it only among steps of the same priority and urgency', (t) => {
      const late = { objectiveUnixMs: NOW_MS + 500 };
      const steps = [step('a'), step('b', late), step('c', late), step('d', { priority: 1 })];
      const sorted = QueueOrder.sort(steps, NOW_MS, (ofClass) => ofClass.toReversed());
      t.equal(sorted.map(({ name }) => name).join(' '), 'a c b d');
    });
  });

  describe('under twice the load that the pool can serve', () => {
    it('completes as many steps in time as the capacity allows', (t) => {
      const SERVED_PER_TURN = 5;
      const ARRIVING_PER_TURN = 10;
      const TURN_MS = 800;
      let waiting: NamedStep[] = [];
      let inTime = 0;
      const turns = 20;
      for (let turn = 0; turn < turns; turn += 1) {
        const nowMs = NOW_MS + turn * TURN_MS;
        for (let one = 0; one < ARRIVING_PER_TURN; one += 1) {
          waiting.push(step(`${turn}/${one}`, { objectiveUnixMs: nowMs + 2_000 }));
        }
        const served = QueueOrder.sort(waiting, nowMs).slice(0, SERVED_PER_TURN);
        inTime += served.filter((one) => one.objectiveUnixMs >= nowMs + 800).length;
        waiting = waiting.filter((one) => !served.includes(one));
      }
      t.ok(inTime >= turns * SERVED_PER_TURN * 0.95, `${inTime} in time`);
    });
  });
});
