/** Runs callers in a closed loop: each sends a job, resends it if needed, and sends the next. */
import { type Random } from '@acaciadock/core';
import { type CallerAnswer, type EntryFleet } from '@acaciadock/scenarios';
import { type Job, type JobKind } from './Job.js';

const CALLERS = 256;
const MAX_RESENDS = 3;
const RESEND_DELAY_MS = 50;
const DEADLINE_MS = 4_000;
const MAX_SHORT_DEADLINE_MS = 100;
const HANG_TIMEOUT_MS = 20_000;
const MAX_HANG_UP_DELAY_MS = 30;
const SHORT_DEADLINE_RATIO = 0.02;
const HANG_UP_RATIO = 0.01;
const DUPLICATE_RATIO = 0.2;

export interface LoadOptions {
  readonly maxRequests: number;
  readonly maxMs: number;
  readonly entries: number;
}

export class CallerLoad {
  readonly jobs: Job[] = [];

  /** Number of requests sent, including resent ones. */
  sentRequests = 0;

  private untilMs = 0;

  private idempotencyTimeMs = 0;

  constructor(
    private readonly fleet: EntryFleet,
    private readonly random: Random,
    private readonly options: LoadOptions,
  ) {}

  async run(): Promise<void> {
    this.untilMs = this.fleet.clock.monotonicMs() + this.options.maxMs;
    this.idempotencyTimeMs = this.fleet.clock.unixMs();
    await Promise.all(Array.from({ length: CALLERS }, () => this.call()));
  }

  private async call(): Promise<void> {
    while (
      this.sentRequests < this.options.maxRequests &&
      this.fleet.clock.monotonicMs() < this.untilMs
    ) {
      await this.runJob(this.createJob());
    }
  }

  private createJob(): Job {
    const kinds: JobKind[] = ['idempotent', 'idempotent', 'idempotent', 'bare', 'keyed'];
    const kind = this.random.pick(kinds) ?? 'bare';
    const name = `job-${this.jobs.length}`;
    const job: Job = { name, kind, answers: [], hungUp: false, timedOut: false };
    this.jobs.push(job);
    return job;
  }

  private async runJob(job: Job): Promise<void> {
    const entry = this.random.integer(0, this.options.entries - 1);
    const duplicated = job.kind === 'keyed' && this.random.chance(DUPLICATE_RATIO);
    const first = this.send(job, entry);
    const second = duplicated ? this.send(job, entry + 1) : undefined;
    let last = await first;
    await second;
    for (let resend = 1; resend <= MAX_RESENDS && CallerLoad.mayResend(job, last); resend += 1) {
      await this.fleet.clock.sleep(RESEND_DELAY_MS);
      last = await this.send(job, entry + resend);
    }
  }

  /** Whether to resend: only after a lost connection, or if the work did not run. */
  private static mayResend(job: Job, last: CallerAnswer): boolean {
    if (job.hungUp || job.kind === 'bare') return false;
    return last.statusCode === 0 || last.executed === 'no';
  }

  private async send(job: Job, entry: number): Promise<CallerAnswer> {
    this.sentRequests += 1;
    const { clock } = this.fleet;
    const abortController = new AbortController();
    if (job.kind !== 'keyed' && this.random.chance(HANG_UP_RATIO)) {
      Object.assign(job, { hungUp: true });
      clock.after(this.random.integer(0, MAX_HANG_UP_DELAY_MS), () => abortController.abort());
    }
    const hangTimer = clock.after(HANG_TIMEOUT_MS, () => {
      Object.assign(job, { timedOut: true });
      abortController.abort();
    });
    const answer = await this.fleet.send(entry % this.options.entries, {
      serviceId: job.kind === 'idempotent' ? 'advice' : 'filing',
      body: job.name,
      headers: this.headersOf(job),
      signal: abortController.signal,
    });
    hangTimer.dispose();
    job.answers.push(answer);
    return answer;
  }

  private headersOf(job: Job): Record<string, string> {
    const short = this.random.chance(SHORT_DEADLINE_RATIO);
    const deadlineMs = short ? this.random.integer(1, MAX_SHORT_DEADLINE_MS) : DEADLINE_MS;
    const headers = { 'x-deadline-ms': String(deadlineMs) };
    if (job.kind !== 'keyed') return headers;
    return {
      ...headers,
      'idempotency-key': job.name,
      'x-idempotency-time': String(this.idempotencyTimeMs),
    };
  }
}
