/** Plays the start orders of a takeover: hundreds at once, with targets that answer a little later. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { StartLimiter } from './StartLimiter.js';

const TARGET_COUNT = 100;
const ORDER_COUNT = 800;
const ANSWER_MS = 5;

/** Time limit of an order, in milliseconds. */
const ORDER_TIMEOUT_MS = 250;

interface Outcome {
  readonly maxInFlight: number;
  readonly maxPerTarget: number;
  readonly doneMs: number;
  readonly started: readonly string[];
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 6; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

async function play(limiter: StartLimiter): Promise<Outcome> {
  const clock = new ManualClock();
  const inFlight = new Map<string, number>();
  const outcome = { maxInFlight: 0, maxPerTarget: 0, doneMs: 0, started: [] as string[] };
  const count = (targetId: string, change: number): void => {
    inFlight.set(targetId, (inFlight.get(targetId) ?? 0) + change);
    const all = [...inFlight.values()].reduce((sum, value) => sum + value, 0);
    outcome.maxInFlight = Math.max(outcome.maxInFlight, all);
    outcome.maxPerTarget = Math.max(outcome.maxPerTarget, inFlight.get(targetId) ?? 0);
  };
  for (let order = 0; order < ORDER_COUNT; order += 1) {
    const targetId = `t${order % TARGET_COUNT}`;
    void limiter.run(targetId, async () => {
      outcome.started.push(`${targetId}#${order}`);
      count(targetId, 1);
      await clock.sleep(ANSWER_MS);
      count(targetId, -1);
    });
  }
  await settle();
  for (let ms = 0; ms < 1_000 && outcome.started.length < ORDER_COUNT; ms += 1) {
    clock.advance(1);
    await settle();
    outcome.doneMs = ms;
  }
  return outcome;
}

describe('start orders in flight', () => {
  it('are so few that none waits for a connection beyond its time limit', async (t) => {
    // Fails if all orders are handed to the connections at once: 800 in flight, 8 to a target.
    const { maxInFlight, maxPerTarget, doneMs, started } = await play(new StartLimiter());
    t.ok(maxInFlight <= 64, `${maxInFlight} in flight`);
    t.ok(maxPerTarget <= 2, `${maxPerTarget} to one target`);
    t.equal(new Set(started).size, ORDER_COUNT);
    t.ok(doneMs < ORDER_TIMEOUT_MS, `all sent after ${doneMs} ms`);
  });

  it('are not sent any more once the owner has stopped', async (t) => {
    // Fails if orders that waited are sent by an owner whose period has ended.
    const limiter = new StartLimiter();
    limiter.dispose();
    const { started } = await play(limiter);
    t.same(started, []);
  });

  it('to one target do not wait behind one that does not answer', async (t) => {
    // Fails if a silent target holds the places of all.
    const limiter = new StartLimiter();
    const started: number[] = [];
    for (let order = 0; order < 200; order += 1) {
      void limiter.run('silent', () => new Promise<void>(() => {}));
    }
    for (let order = 0; order < 10; order += 1) {
      void limiter.run('answers', () => {
        started.push(order);
        return Promise.resolve();
      });
    }
    await settle();
    t.same(started, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
  });
});
