/**
 * Plays random submissions, repeats and cancels beside outages of the store and changes of owner, and
 * returns where what ran or what the last owner knows contradicts an answer that a caller got.
 */
import { type JobReply } from '@acaciadock/coordinator';
import { type StoreFaults } from '@acaciadock/coordinator/testing';
import { Random } from '@acaciadock/core';
import { CALM_STORE } from './calmStore.js';
import { type JobWorld } from './JobWorld.js';
import { createWorld, statusOf } from './takeoverHelpers.js';

/** No task of a job starts later than this after its cancelling was confirmed, in milliseconds. */
export const CANCEL_BOUND_MS = 3_000;

/** Time limit of the callers, in milliseconds. */
const CALL_TIMEOUT_MS = 3_000;

/** Time in which all accepted jobs end once nothing disturbs them, in milliseconds. */
const SETTLE_MS = 15_000;

const DISTURBED_MS = 12_000;
const MAX_PAUSE_MS = 250;
const DISTURBANCE_CHANCE = 0.15;

/** Submissions that are sent as a disturbance begins, so that their records are under way. */
const SENT_AT_ONCE = 4;
const MAX_OUTAGE_MS = 4_500;
const MAX_CANCEL_DELAY_MS = 1_500;

/** A copy of a submission that waits in a frozen entry arrives up to this long after the cancel. */
const MAX_COPY_DELAY_MS = 5_000;
const LATE_COPY_CHANCE = 0.5;
const RESTART_MS = 300;
const RUNTIME_MS = 600;

/** A full target keeps most jobs waiting, so that a job is cancelled before it has a run. */
const WORLD = { runtimeMs: RUNTIME_MS, targetCount: 1, refusesOverload: false };
const STEPS = [{ taskCount: 1, cpuMilli: 1_000 }];

const OUTAGES: readonly Partial<StoreFaults>[] = [
  { isDown: true },
  { isSilent: true },
  { isResetting: true },
  { lostAnswerShare: 0.4 },
  { latencyMs: 300 },
];

/** What the callers of one job were told. */
export class JobAnswers {
  isCancelled = false;

  isCancelSent = false;

  isAccepted = false;

  /** Number of starts when the bound after the confirmed cancelling had passed. */
  private startsAtBound: number | undefined;

  /** Submissions that were answered otherwise than by a refusal, or not at all. */
  private unrefused = 0;

  private submissions = 0;

  constructor(
    readonly jobId: string,
    private readonly world: JobWorld,
  ) {}

  get isRefused(): boolean {
    return this.submissions > 0 && this.unrefused === 0;
  }

  async submit(): Promise<void> {
    const answer = this.world.call(this.jobId, { steps: STEPS });
    if (!answer) return;
    this.submissions += 1;
    this.unrefused += 1;
    const reply = await this.withinTimeLimit(answer);
    if (reply?.kind === 'refused') this.unrefused -= 1;
    if (reply?.kind === 'accepted') this.isAccepted = true;
  }

  /** Sends the cancel once; returns whether it was confirmed. */
  async cancel(): Promise<boolean> {
    this.isCancelSent = true;
    const reply = await this.withinTimeLimit(this.world.cancel(this.jobId));
    const isConfirmed = reply?.kind === 'cancelled' || reply?.kind === 'unknown-job';
    if (isConfirmed && !this.isCancelled) {
      this.isCancelled = true;
      this.world.clock.after(CANCEL_BOUND_MS, () => {
        this.startsAtBound = this.starts;
      });
    }
    return isConfirmed;
  }

  async cancelUntilConfirmed(retryMs: number): Promise<void> {
    while (!(await this.cancel())) await this.world.clock.sleep(retryMs);
  }

  get starts(): number {
    return this.world.observer.startsOf(`${this.jobId}.0.0.0`);
  }

  /** Starts later than the bound after the confirmed cancelling. */
  get lateStarts(): number {
    return this.starts - (this.startsAtBound ?? this.starts);
  }

  /** Undefined if there is nobody to answer, or no answer within the caller's time limit. */
  private withinTimeLimit(reply: Promise<JobReply> | undefined): Promise<JobReply | undefined> {
    return Promise.race([
      reply ?? Promise.resolve(undefined),
      this.world.clock.sleep(CALL_TIMEOUT_MS).then(() => undefined),
    ]);
  }
}

/** Cancels the job after a delay; an earlier copy of the submission may arrive long after that. */
async function cancelLater(
  world: JobWorld,
  answers: JobAnswers,
  delayMs: number,
  random: Random,
): Promise<void> {
  await world.clock.sleep(delayMs);
  await answers.cancelUntilConfirmed(RESTART_MS);
  if (!random.chance(LATE_COPY_CHANCE)) return;
  await world.clock.sleep(random.next() * MAX_COPY_DELAY_MS);
  await answers.submit();
}

/** Submits a job up to three times under the same id. */
async function submitRepeatedly(
  world: JobWorld,
  answers: JobAnswers,
  random: Random,
): Promise<void> {
  const attempts = random.integer(1, 3);
  for (let attempt = 0; attempt < attempts && !answers.isAccepted; attempt += 1) {
    if (attempt > 0) await world.clock.sleep(random.next() * 500);
    await answers.submit();
  }
}

function disturb(world: JobWorld, random: Random): void {
  if (random.chance(0.5)) {
    Object.assign(world.store.faults, random.pick(OUTAGES));
    world.clock.after(random.next() * MAX_OUTAGE_MS, () =>
      Object.assign(world.store.faults, CALM_STORE),
    );
    return;
  }
  const ownerId = world.ownerId();
  if (ownerId === undefined) return;
  const gone = random.chance(0.2) ? [...world.entries.keys()] : [ownerId];
  const isPlanned = random.chance(0.5);
  gone.forEach((entryId) => {
    if (isPlanned) void world.entries.get(entryId)?.leave();
    world.clock.after(isPlanned ? RESTART_MS : 0, () => {
      world.killEntry(entryId);
      world.clock.after(RESTART_MS, () => world.startEntry(entryId));
    });
  });
}

/** Compares what ran, and what the owner knows, with the answers. */
export async function contradictions(
  world: JobWorld,
  jobs: readonly JobAnswers[],
): Promise<string[]> {
  const found: string[] = [...world.observer.broken];
  for (const answers of jobs) {
    const { jobId, isCancelled, lateStarts } = answers;
    if (answers.isRefused && answers.starts > 0) found.push(`${jobId} was refused and ran`);
    if (lateStarts > 0) found.push(`${jobId} started long after its cancelling was confirmed`);
    const status = await statusOf(world, jobId);
    if (answers.isAccepted && !answers.isCancelSent && status !== 'completed')
      found.push(`${jobId} was accepted and is ${status}`);
    if (isCancelled && (status === 'pending' || status === 'running'))
      found.push(`${jobId} was cancelled and is ${status}`);
  }
  return found;
}

/** Returns the contradictions that the schedule of this seed led to. */
export async function playAnswerSchedule(seed: number): Promise<string[]> {
  const random = new Random(seed);
  // Of its own, so that the seeds that failed before still lead to the same disturbances.
  const copyRandom = new Random(seed);
  const world = await createWorld({ seed, ...WORLD });
  const jobs: JobAnswers[] = [];
  const untilMs = world.clock.monotonicMs() + DISTURBED_MS;
  const sendOne = (): void => {
    const answers = new JobAnswers(`j${jobs.length}`, world);
    jobs.push(answers);
    void submitRepeatedly(world, answers, random);
    if (random.chance(0.5)) {
      void cancelLater(world, answers, random.next() * MAX_CANCEL_DELAY_MS, copyRandom);
    }
  };
  while (world.clock.monotonicMs() < untilMs) {
    sendOne();
    if (random.chance(DISTURBANCE_CHANCE)) {
      for (let sent = 0; sent < SENT_AT_ONCE; sent += 1) sendOne();
      disturb(world, random);
    }
    await world.run(random.next() * MAX_PAUSE_MS);
  }
  await world.run(MAX_OUTAGE_MS + 2 * RESTART_MS);
  // Whatever the last owner keeps in memory only is not what its successor loads.
  world.killEntry(world.ownerId() ?? '');
  await world.run(SETTLE_MS);
  return contradictions(world, jobs);
}
