/** Calls that reach the owner after another entry resolved them under its own configuration. */
import { type JobCall, type JobReply } from '@acaciadock/coordinator';
import {
  PausableClock,
  SimulatedGroup,
  SimulatedLog,
  SimulatedStore,
} from '@acaciadock/coordinator/testing';
import { ManualClock, Random, SilentLogger, toDisposable } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { jobsConfigSchema, JobsConfigView } from '@acaciadock/jobs';
import { Election } from './Election.js';
import { contextOf, JobCallRouter } from './JobCallRouter.js';

function viewOf(version: number, keys: readonly string[], hasQueue = true): JobsConfigView {
  const queue = { queueId: 'q', host: 'h', pathPrefix: '/q/', poolId: `pool-${version}` };
  return new JobsConfigView(
    jobsConfigSchema.parse({
      version,
      queues: hasQueue ? [queue] : [],
      pools: [{ poolId: `pool-${version}` }],
      teams: [{ teamId: 't', keys }],
    }),
  );
}

const ACCESS = { host: 'h', path: '/q/5c0e7a21d94b36f8', key: 'key' };

/** A call as sent by an entry whose configuration is `view`. */
function createCall(view: JobsConfigView): JobCall {
  const allowed = view.resolve(ACCESS)._unsafeUnwrap();
  return { kind: 'state', context: contextOf(ACCESS, allowed, view.version), jobId: 'j' };
}

interface Fixture {
  readonly router: JobCallRouter;
  readonly calls: JobCall[];
  readonly clock: ManualClock;
}

/** The owner gives the replies in turn; the last one holds for all further calls. */
function createFixture(
  view: JobsConfigView,
  replies: readonly JobReply[] = [{ kind: 'cancelled' }],
): Fixture {
  const base = new ManualClock();
  const clock = new PausableClock(base);
  const store = new SimulatedStore(base, new Random(1));
  const faults = { isDown: false, lostAnswerShare: 0, latencyMs: 0 };
  const logger = new SilentLogger();
  const self = { entryId: 'e0', bootMs: 1, peerAddress: 'e0:1', cpuMilli: 675 };
  const election = new Election(self, {
    group: new SimulatedGroup(store, clock, faults),
    log: new SimulatedLog(store, clock, faults),
    peers: {
      exchangeNotice: () => Promise.resolve(undefined),
      watch: () => toDisposable(() => undefined),
    },
    clock,
    logger,
  });
  const calls: JobCall[] = [];
  const service = {
    call: (call: JobCall): Promise<JobReply> => {
      const reply = replies[calls.length] ?? replies.at(-1);
      calls.push(call);
      return reply ? Promise.resolve(reply) : Promise.reject(new Error('no reply'));
    },
  };
  const router = new JobCallRouter({
    election,
    clock,
    logger,
    local: () => service,
    config: () => view,
  });
  return { router, calls, clock: base };
}

describe('JobCallRouter at the owner', () => {
  it('refuses a key that its newer configuration no longer has', async (t) => {
    // Fails if the owner relies on the result of the entry that received the call.
    const { router, calls } = createFixture(viewOf(2, []));
    t.same(await router.callLocal(createCall(viewOf(1, ['key']))), { kind: 'unknown-key' });
    t.equal(calls.length, 0);
  });

  it('refuses a queue that its newer configuration has removed', async (t) => {
    const { router } = createFixture(viewOf(2, ['key'], false));
    t.same(await router.callLocal(createCall(viewOf(1, ['key']))), { kind: 'no-such-queue' });
  });

  it('uses the pool of its newer configuration', async (t) => {
    const { router, calls } = createFixture(viewOf(2, ['key']));
    await router.callLocal(createCall(viewOf(1, ['key'])));
    t.equal(calls[0]?.context.poolId, 'pool-2');
  });

  it('keeps the result of an entry that has a newer configuration', async (t) => {
    const { router, calls } = createFixture(viewOf(2, []));
    await router.callLocal(createCall(viewOf(3, ['key'])));
    t.equal(calls[0]?.context.poolId, 'pool-3');
  });
});

describe('JobCallRouter with a call whose outcome is unknown', () => {
  const UNKNOWN: JobReply = { kind: 'unknown-outcome', reason: 'store-stalled' };
  const REFUSED: JobReply = { kind: 'refused', reason: 'store-stalled', retryAfterMs: 1_000 };
  const STEP_MS = 10;
  const PLAYED_MS = 3_000;

  /** The reply to a call to which the owner gives these replies in turn, and when it came. */
  async function replyAfter(
    replies: readonly JobReply[],
  ): Promise<{ kind: string; tookMs: number }> {
    const view = viewOf(1, ['key']);
    const { router, clock } = createFixture(view, replies);
    let answered: { kind: string; tookMs: number } | undefined;
    void router.call(createCall(view)).then(({ kind }) => {
      answered = { kind, tookMs: clock.monotonicMs() };
    });
    while (!answered && clock.monotonicMs() < PLAYED_MS) {
      clock.advance(STEP_MS);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    return answered ?? { kind: 'none', tookMs: PLAYED_MS };
  }

  it('repeats it, and passes on that it was accepted', async (t) => {
    const { kind, tookMs } = await replyAfter([UNKNOWN, { kind: 'accepted' }]);
    t.equal(kind, 'accepted');
    t.ok(tookMs <= 100, `after ${tookMs} ms`);
  });

  const unresolving: JobReply[] = [REFUSED, { kind: 'unknown-key' }, { kind: 'no-such-queue' }];
  unresolving.forEach((later) => {
    it(`does not take ${later.kind} of a repetition for the outcome of the first attempt`, async (t) => {
      // Fails if such a reply, which promises that nothing runs, replaces the unknown outcome.
      t.equal((await replyAfter([UNKNOWN, later])).kind, 'unknown-outcome');
    });
  });

  const OVERLOADED: JobReply = { kind: 'refused', reason: 'overloaded', retryAfterMs: 2_000 };
  [[OVERLOADED], [UNKNOWN, OVERLOADED]].forEach((replies) => {
    it(`does not repeat a call that was refused because of load (${replies.length})`, async (t) => {
      // Fails if the call is sent again every 50 ms, which adds to the load.
      const { kind, tookMs } = await replyAfter(replies);
      t.equal(kind, replies[0]?.kind);
      t.ok(tookMs <= 100, `after ${tookMs} ms`);
    });
  });

  it('gives up before the caller does', async (t) => {
    const { kind, tookMs } = await replyAfter([UNKNOWN]);
    t.equal(kind, 'unknown-outcome');
    t.ok(tookMs <= 1_500, `after ${tookMs} ms`);
  });

  it('passes on a refusal at once that no unknown outcome precedes', async (t) => {
    const { kind, tookMs } = await replyAfter([REFUSED]);
    t.equal(kind, 'refused');
    t.ok(tookMs <= STEP_MS);
  });
});
