/**
 * Plays random submissions, repeats, cancels and queries of several client accounts on several queues, with ids
 * from a small range, beside outages of the store and changes of owner. Returns where an answer or a start
 * contradicts what was sent: a submission belongs to the account and the queue that it was sent with, or to the
 * queue alone if that is public.
 */
import { type JobReply } from '@acaciadock/coordinator';
import { Random } from '@acaciadock/core';
import { CALM_STORE } from './calmStore.js';
import { type JobOrigin, type JobWorld } from './JobWorld.js';
import { createWorld } from './takeoverHelpers.js';

const ID_COUNT = 12;
const CALL_COUNT = 150;
const MAX_PAUSE_MS = 150;
const DISTURBANCE_CHANCE = 0.05;
const MAX_OUTAGE_MS = 2_500;
const RESTART_MS = 300;

/** Time in which all accepted jobs end once nothing disturbs them, in milliseconds. */
const SETTLE_MS = 25_000;
const ANSWER_MS = 2_000;

const OWN_POOL = 'own';
const PUBLIC_POOL = 'public';
const STEPS = [{ taskCount: 1, cpuMilli: 200 }];

export const SHARED_ID_WORLD = {
  targetCount: 0,
  instanceCount: 2,
  refusesOverload: false,
  weights: { team: 1, other: 1 },
  otherPoolIds: [OWN_POOL, PUBLIC_POOL],
  publicPoolIds: [PUBLIC_POOL],
};

/** Who calls: an account on one of its queues, or anybody on the public queue. */
export const ORIGINS: readonly JobOrigin[] = [
  { teamId: 'team' },
  { teamId: 'other' },
  { teamId: 'team', otherPoolId: OWN_POOL },
  { teamId: 'other', otherPoolId: OWN_POOL },
  { teamId: 'team', otherPoolId: PUBLIC_POOL },
  { teamId: 'other', otherPoolId: PUBLIC_POOL },
  { teamId: '', otherPoolId: PUBLIC_POOL },
];

/** What those who share a submission of this id have in common; it is also their specification. */
export function scopeOf({ teamId, otherPoolId = 'default' }: JobOrigin): string {
  return otherPoolId === PUBLIC_POOL ? PUBLIC_POOL : `${otherPoolId} of ${teamId}`;
}

/** What was sent and answered for one id within one scope. */
interface Exchange {
  submissions: number;
  refusals: number;
  isAccepted: boolean;
  isCancelSent: boolean;
  isCancelled: boolean;
}

function createExchange(): Exchange {
  return {
    submissions: 0,
    refusals: 0,
    isAccepted: false,
    isCancelSent: false,
    isCancelled: false,
  };
}

export class SharedIdCaller {
  private readonly exchanges = new Map<string, Exchange>();

  /** Answers that contradict what was sent. */
  readonly found: string[] = [];

  constructor(private readonly world: JobWorld) {}

  private of(jobId: string, scope: string): Exchange {
    const key = `${jobId} ${scope}`;
    const exchange = this.exchanges.get(key) ?? createExchange();
    this.exchanges.set(key, exchange);
    return exchange;
  }

  async submit(jobId: string, origin: JobOrigin): Promise<JobReply | undefined> {
    const scope = scopeOf(origin);
    const exchange = this.of(jobId, scope);
    const answer = this.world.call(jobId, { spec: scope, steps: STEPS }, origin);
    if (!answer) return undefined;
    exchange.submissions += 1;
    const reply = await answer;
    if (reply.kind === 'refused') exchange.refusals += 1;
    if (reply.kind === 'accepted') exchange.isAccepted = true;
    return reply;
  }

  async cancel(jobId: string, origin: JobOrigin): Promise<JobReply | undefined> {
    const exchange = this.of(jobId, scopeOf(origin));
    exchange.isCancelSent = true;
    const reply = await this.world.cancel(jobId, origin);
    if (reply?.kind === 'cancelled' || reply?.kind === 'unknown-job') exchange.isCancelled = true;
    return reply;
  }

  async query(jobId: string, origin: JobOrigin): Promise<JobReply | undefined> {
    const scope = scopeOf(origin);
    const { submissions, refusals } = this.of(jobId, scope);
    const reply = await this.world.stateOf(jobId, origin);
    if (reply?.kind === 'state' && submissions === 0)
      this.found.push(`${jobId} is shown to ${scope}, which has not submitted it`);
    if (reply?.kind === 'state' && submissions > 0 && refusals === submissions)
      this.found.push(`${jobId} is shown to ${scope}, which was refused`);
    return reply;
  }

  /** Compares the state at the end, and what has run, with the answers. */
  async contradictions(): Promise<string[]> {
    const { world, found } = this;
    for (const [key, exchange] of this.exchanges) {
      const [jobId = ''] = key.split(' ');
      const scope = key.slice(jobId.length + 1);
      const origin = ORIGINS.find((one) => scopeOf(one) === scope);
      if (!origin) throw new Error(`no caller of ${scope}`);
      const asked = this.query(jobId, origin);
      await world.run(ANSWER_MS / 100);
      const reply = await asked;
      const status = reply?.kind === 'state' ? reply.status : reply?.kind;
      const { submissions, refusals, isAccepted, isCancelSent, isCancelled } = exchange;
      const hasRun = world.observer.specsOf(jobId).includes(scope);
      if (isAccepted && !isCancelSent && status !== 'completed')
        found.push(`${key} was accepted and is ${status}`);
      if (isCancelled && (status === 'pending' || status === 'running'))
        found.push(`${key} was cancelled and is ${status}`);
      if (hasRun && submissions === refusals) found.push(`${key} was refused and ran`);
      if (isAccepted && status === 'completed' && !hasRun)
        found.push(`${key} is completed and never ran`);
    }
    return [...found, ...world.observer.broken];
  }
}

function disturb(world: JobWorld, random: Random): void {
  if (random.chance(0.5)) {
    Object.assign(world.store.faults, { isDown: true });
    world.clock.after(random.next() * MAX_OUTAGE_MS, () =>
      Object.assign(world.store.faults, CALM_STORE),
    );
    return;
  }
  const ownerId = world.ownerId();
  if (ownerId === undefined) return;
  world.killEntry(ownerId);
  world.clock.after(RESTART_MS, () => world.startEntry(ownerId));
}

/** Returns the contradictions that the schedule of this seed led to. */
export async function playSharedIds(seed: number): Promise<string[]> {
  const random = new Random(seed);
  const world = await createWorld({ seed, ...SHARED_ID_WORLD });
  const caller = new SharedIdCaller(world);
  for (let call = 0; call < CALL_COUNT; call += 1) {
    const jobId = `j${random.integer(0, ID_COUNT - 1)}`;
    const origin = random.pick(ORIGINS) ?? {};
    const kind = random.next();
    if (kind < 0.5) void caller.submit(jobId, origin);
    else if (kind < 0.6) void caller.cancel(jobId, origin);
    else void caller.query(jobId, origin);
    if (random.chance(DISTURBANCE_CHANCE)) disturb(world, random);
    await world.run(random.next() * MAX_PAUSE_MS);
  }
  await world.run(SETTLE_MS);
  return caller.contradictions();
}
