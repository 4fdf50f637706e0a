/**
 * Simulates callers with a limited number of tries who return when they were told to, in whole
 * seconds. Counts what their submissions came to.
 */
import { type JobReply } from '@acaciadock/coordinator';
import { type JobInput, type JobWorld } from './JobWorld.js';

const TRIES = 5;
const MS_PER_S = 1_000;

/** Delay before a call that found nobody or got no certain answer is repeated, in milliseconds. */
const REPEAT_MS = 1_000;

export class RetryingCaller {
  readonly acceptedMs = new Map<string, number>();

  /** Jobs whose every try was refused. */
  readonly refused: string[] = [];

  /** Jobs with an answer that left the outcome unknown. */
  readonly unknown = new Set<string>();

  constructor(
    private readonly world: JobWorld,
    private readonly spec: JobInput,
  ) {}

  /** Submits a job until it is accepted or the tries are used up. */
  async submit(jobId: string): Promise<void> {
    const { clock } = this.world;
    const startedMs = clock.monotonicMs();
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      const reply = await this.world.call(jobId, this.spec);
      if (reply?.kind === 'accepted') {
        this.acceptedMs.set(jobId, clock.monotonicMs() - startedMs);
        return;
      }
      if (reply?.kind === 'unknown-outcome') this.unknown.add(jobId);
      await clock.sleep(RetryingCaller.delayMs(reply));
    }
    this.refused.push(jobId);
  }

  private static delayMs(reply: JobReply | undefined): number {
    if (reply?.kind !== 'refused') return REPEAT_MS;
    return Math.ceil(reply.retryAfterMs / MS_PER_S) * MS_PER_S;
  }
}
