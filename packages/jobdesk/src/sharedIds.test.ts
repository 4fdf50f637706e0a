/**
 * Submissions with the same id of several client accounts, or on several queues. Guards against a submission that
 * is confirmed though another one has its id, and against anything of one account that another one sees or changes.
 */
import { describe, it } from '@acaciadock/core/testing';
import { type JobReply } from '@acaciadock/coordinator';
import { CALM_STORE } from './testing/calmStore.js';
import { type JobOrigin, type JobWorld } from './testing/JobWorld.js';
import { playSharedIds, SHARED_ID_WORLD } from './testing/sharedIdSchedule.js';
import { createWorld, type StepInput } from './testing/takeoverHelpers.js';

const FIRST_SEED = 20_261_206;
const SCHEDULE_COUNT = 15;

/** Seeds that once failed; don't remove any. */
const REGRESSION_SEEDS = [1, 2, 3];

/** Longer than finished jobs are kept. */
const RETENTION_MS = 121_000;

const FIRST: JobOrigin = { teamId: 'team' };
const SECOND: JobOrigin = { teamId: 'other' };
const ON_PUBLIC: JobOrigin = { teamId: '', otherPoolId: 'public' };

const SHORT: readonly StepInput[] = [{ taskCount: 1, cpuMilli: 200 }];
const LASTING: readonly StepInput[] = [{ taskCount: 1, cpuMilli: 200, longRunning: true }];

async function answered(
  world: JobWorld,
  reply: Promise<JobReply> | undefined,
): Promise<JobReply | undefined> {
  await world.run(100);
  return reply;
}

class Fixture {
  private constructor(readonly world: JobWorld) {}

  static async create(): Promise<Fixture> {
    return new Fixture(await createWorld(SHARED_ID_WORLD));
  }

  submit(origin: JobOrigin, spec: string, steps = SHORT): Promise<JobReply | undefined> {
    return answered(this.world, this.world.call('a', { spec, steps }, origin));
  }

  cancel(origin: JobOrigin): Promise<JobReply | undefined> {
    return answered(this.world, this.world.cancel('a', origin));
  }

  async state(origin: JobOrigin): Promise<string | undefined> {
    const reply = await answered(this.world, this.world.stateOf('a', origin));
    return reply?.kind === 'state' ? reply.status : reply?.kind;
  }
}

/** What has become of the first submission when the second one arrives, and its state by then. */
const STATES: Readonly<Record<string, (fixture: Fixture) => Promise<string>>> = {
  'is running': async (fixture) => {
    await fixture.submit(FIRST, 'first', LASTING);
    await fixture.world.run(500);
    return 'running';
  },
  'is done': async (fixture) => {
    await fixture.submit(FIRST, 'first');
    await fixture.world.run(3_000);
    return 'completed';
  },
  'is cancelled': async (fixture) => {
    await fixture.submit(FIRST, 'first', LASTING);
    await fixture.cancel(FIRST);
    await fixture.world.run(1_000);
    return 'cancelled';
  },
  'is running under another owner': async (fixture) => {
    await fixture.submit(FIRST, 'first', LASTING);
    fixture.world.killEntry(fixture.world.ownerId() ?? '');
    await fixture.world.run(8_000);
    return 'running';
  },
};

/** Who sends the second submission with the id. */
const OTHERS: Readonly<Record<string, JobOrigin>> = {
  'another account': SECOND,
  'another account on another queue': { teamId: 'other', otherPoolId: 'own' },
  'the same account on another queue': { teamId: 'team', otherPoolId: 'own' },
  'a caller of a public queue': ON_PUBLIC,
};

describe('a submission whose id another one has', () => {
  Object.entries(STATES).forEach(([state, reach]) => {
    Object.entries(OTHERS).forEach(([name, origin]) => {
      it(`is refused to ${name}, and shows nothing of the first, which ${state}`, async (t) => {
        // Fails if the id alone is taken for a repeat: the second submission is confirmed and never runs.
        const fixture = await Fixture.create();
        const status = await reach(fixture);
        const reply = await fixture.submit(origin, 'second');
        t.equal(reply?.kind, 'refused');
        t.equal(await fixture.state(origin), 'unknown-job');
        await fixture.cancel(origin);
        t.equal(await fixture.state(FIRST), status, 'the first is as it was');
        t.same((await fixture.submit(FIRST, 'first'))?.kind, 'accepted', 'a repeat of the first');
        await fixture.world.run(3_000);
        t.same(fixture.world.observer.specsOf('a'), ['first']);
      });
    });
  });

  it('is refused to an account after one of a public queue', async (t) => {
    // Fails if a job without an account is shown to the callers of every queue.
    const fixture = await Fixture.create();
    await fixture.submit(ON_PUBLIC, 'first', LASTING);
    t.equal((await fixture.submit(FIRST, 'second'))?.kind, 'refused');
    t.equal(await fixture.state(FIRST), 'unknown-job');
    await fixture.cancel(FIRST);
    await fixture.world.run(1_000);
    t.equal(await fixture.state(ON_PUBLIC), 'running');
    t.equal(await fixture.state({ teamId: 'team', otherPoolId: 'public' }), 'running');
  });

  it('is refused in the same append, at whichever entry it arrives', async (t) => {
    const fixture = await Fixture.create();
    const replies = await Promise.all([
      fixture.submit(FIRST, 'first'),
      fixture.submit(SECOND, 'second'),
    ]);
    t.same(
      replies.map((reply) => reply?.kind),
      ['accepted', 'refused'],
    );
    await fixture.world.run(2_000);
    t.same(fixture.world.observer.specsOf('a'), ['first']);
  });

  it('is told when the id may be free', async (t) => {
    const fixture = await Fixture.create();
    await fixture.submit(FIRST, 'first');
    await fixture.world.run(20_000);
    const reply = await fixture.submit(SECOND, 'second');
    const retryAfterMs = reply?.kind === 'refused' ? reply.retryAfterMs : 0;
    t.ok(retryAfterMs > 95_000 && retryAfterMs < 105_000, `${retryAfterMs} ms`);
  });

  it('runs once the retention of the first is over', async (t) => {
    const fixture = await Fixture.create();
    await fixture.submit(FIRST, 'first');
    await fixture.world.run(RETENTION_MS + 1_000);
    t.equal((await fixture.submit(SECOND, 'second'))?.kind, 'accepted');
    await fixture.world.run(3_000);
    t.equal(await fixture.state(SECOND), 'completed');
    t.equal(await fixture.state(FIRST), 'unknown-job');
  });

  it('runs if the first was refused in an outage of the store', async (t) => {
    const fixture = await Fixture.create();
    const { world } = fixture;
    Object.assign(world.store.faults, { isDown: true });
    const first = fixture.submit(FIRST, 'first');
    await world.run(1_000);
    Object.assign(world.store.faults, CALM_STORE);
    t.equal((await first)?.kind, 'refused');
    await world.run(500);
    t.equal((await fixture.submit(SECOND, 'second'))?.kind, 'accepted');
    await world.run(3_000);
    t.equal(await fixture.state(SECOND), 'completed');
    t.same(world.observer.specsOf('a'), ['second']);
  });

  it('is one submission if it is a repeat with another specification', async (t) => {
    // "A request with the same ID arrives again ... It remains one submission."
    const fixture = await Fixture.create();
    await fixture.submit(FIRST, 'first');
    t.equal((await fixture.submit(FIRST, 'changed'))?.kind, 'accepted');
    await fixture.world.run(3_000);
    t.same(fixture.world.observer.specsOf('a'), ['first']);
  });
});

describe('a cancel of an unknown id', () => {
  it('holds for its account and its queue only', async (t) => {
    // Fails if the submission of another queue, which nobody has cancelled, is shown as cancelled.
    const fixture = await Fixture.create();
    await fixture.cancel({ teamId: 'team', otherPoolId: 'own' });
    await fixture.cancel(SECOND);
    await fixture.cancel(ON_PUBLIC);
    t.equal((await fixture.submit(FIRST, 'first'))?.kind, 'accepted');
    await fixture.world.run(3_000);
    t.equal(await fixture.state(FIRST), 'completed');
  });

  it('holds on each queue on which the account has sent it', async (t) => {
    const queues: readonly JobOrigin[] = [FIRST, { teamId: 'team', otherPoolId: 'own' }];
    for (const origin of queues) {
      const fixture = await Fixture.create();
      for (const one of queues) await fixture.cancel(one);
      fixture.world.killEntry(fixture.world.ownerId() ?? '');
      await fixture.world.run(8_000);
      await fixture.submit(origin, 'first');
      await fixture.world.run(3_000);
      t.equal(await fixture.state(origin), 'cancelled');
      t.same(fixture.world.observer.specsOf('a'), []);
    }
  });

  it('holds for all callers of a public queue', async (t) => {
    // Fails if a submission with a key runs after a cancel without one.
    const fixture = await Fixture.create();
    await fixture.cancel(ON_PUBLIC);
    await fixture.submit({ teamId: 'team', otherPoolId: 'public' }, 'first');
    await fixture.world.run(3_000);
    t.equal(await fixture.state(ON_PUBLIC), 'cancelled');
    t.same(fixture.world.observer.specsOf('a'), []);
  });
});

describe('random calls of several accounts with the same ids', () => {
  it('agree with every answer on seeds that failed before', async (t) => {
    for (const seed of REGRESSION_SEEDS) t.same(await playSharedIds(seed), [], `seed ${seed}`);
  });

  it(`agree with every answer (${SCHEDULE_COUNT} seeds from ${FIRST_SEED})`, async (t) => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULE_COUNT; seed += 1) {
      t.same(await playSharedIds(seed), [], `seed ${seed}`);
    }
  });
});
