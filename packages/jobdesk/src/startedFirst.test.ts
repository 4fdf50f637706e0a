/**
 * A sustained load of two-step jobs beyond the room of a pool, in the order of the product and in
 * orders without some of its rules.
 */
import { QueueOrder, type WaitingStep } from '@acaciadock/placement';
import { describe, it } from '@acaciadock/core/testing';
import { type Test } from 'tap';
import { type Play, play, total } from './testing/overloadPlay.js';

type Sort = typeof QueueOrder.sort;

const sortOfProduct: Sort = QueueOrder.sort.bind(QueueOrder);

function asNotStarted<T extends WaitingStep>(steps: readonly T[]): T[] {
  return steps.map((step) => ({ ...step, hasStarted: false }));
}

/** The least slack first within a priority, a kind and an urgency. */
const sortBySlack: Sort = (steps, nowUnixMs) => sortOfProduct(asNotStarted(steps), nowUnixMs);

/** The order of teams without a preference for jobs that have started. */
const sortByTeams: Sort = (steps, nowUnixMs, orderClass) =>
  sortOfProduct(asNotStarted(steps), nowUnixMs, orderClass);

/** Jobs that have started first, then the least slack, without an order of teams. */
const sortWithoutTeams: Sort = (steps, nowUnixMs) => sortOfProduct(steps, nowUnixMs);

/** Jobs a second at twice the room of the pool, which is also what the teams are entitled to. */
const JOBS_PER_S = { a: 3.2, b: 2.4, c: 1.6, d: 0.8 };
const SMALLEST = 'd';

/**
 * Smallest ratio of the ends in time to those without the preference for started jobs. Three seeds
 * gave 2.3 to 3.5.
 */
const MIN_GAIN = 2;

/** Plays the load while scheduling passes use the given order. */
async function playSorted(t: Test, sort: Sort): Promise<Play> {
  const intercepted = t.intercept(QueueOrder, 'sort', { value: sort });
  const { play: result, world } = await play(JOBS_PER_S, JOBS_PER_S);
  intercepted.restore();
  t.same(world.observer.broken, []);
  return result;
}

/** Part of the smallest team's jobs that ended in time. */
function smallestShare({ inTime, sent }: Play): number {
  return (inTime.get(SMALLEST) ?? 0) / (sent.get(SMALLEST) ?? 1);
}

describe('twice the load of two-step jobs that the pool has room for', () => {
  it('ends more jobs in time than orders without the rules of the product', async (t) => {
    const bySlack = await playSorted(t, sortBySlack);
    const byTeams = await playSorted(t, sortByTeams);
    const withoutTeams = await playSorted(t, sortWithoutTeams);
    const inProduct = await playSorted(t, sortOfProduct);
    const counts = [bySlack, byTeams, withoutTeams, inProduct].map(({ inTime }) => total(inTime));
    const [slackCount = 0, teamsCount = 0, withoutTeamsCount = 0, productCount = 0] = counts;
    const figures = `in time by slack, by teams, without teams, in product: ${counts.join(', ')}`;
    t.ok(productCount > slackCount, figures);
    // Fails if the second steps of started jobs wait behind new jobs until they are late.
    t.ok(productCount > MIN_GAIN * teamsCount, figures);
    // Fails if fair sharing starts more jobs than can end in time.
    t.ok(productCount >= withoutTeamsCount, figures);
    const shares = [bySlack, inProduct].map(smallestShare);
    t.ok((shares[1] ?? 0) >= (shares[0] ?? 0), `smallest team: ${shares.join(', ')}`);
  });
});
