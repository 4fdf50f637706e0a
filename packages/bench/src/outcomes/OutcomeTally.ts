/**
 * Holds what callers were told against what the targets recorded: pure, and the only judge of the
 * bench. A refusal is judged by its own request id, an answer by the work it names.
 */
import { type TargetRun } from '@acaciadock/testkit';
import { type CallerAnswer } from '@acaciadock/scenarios';
import { z } from 'zod';
import { type Job } from './Job.js';

const answerSchema = z.object({ job: z.string(), requestId: z.string() });

export interface OutcomeFigures {
  /** Answered although no target ran the work, or never ended. */
  lost: number;
  /** Two different answers to one keyed piece of work. */
  doubled: number;
  /** Answers that name the work of another caller. */
  crossed: number;
  /** Said not run of a request that a target had run. */
  falseNotRun: number;
  /** Non-idempotent pieces of work that ran more than once. */
  ranTwice: number;
  answered: number;
  notRun: number;
  unknown: number;
  /** Ends without a word, because the entry was killed or the caller hung up. */
  cut: number;
}

function requestIdOf(answer: CallerAnswer): string {
  return String(answer.headers['x-request-id'] ?? '');
}

export class OutcomeTally {
  private readonly runsByJob = new Map<string, number>();

  private readonly executedRequestIds = new Set<string>();

  constructor(runs: Iterable<TargetRun>) {
    for (const { job, requestId } of runs) {
      this.runsByJob.set(job, (this.runsByJob.get(job) ?? 0) + 1);
      this.executedRequestIds.add(requestId);
    }
  }

  countOutcomes(jobs: readonly Job[]): OutcomeFigures {
    const figures: OutcomeFigures = {
      lost: 0,
      doubled: 0,
      crossed: 0,
      falseNotRun: 0,
      ranTwice: 0,
      answered: 0,
      notRun: 0,
      unknown: 0,
      cut: 0,
    };
    jobs.forEach((job) => this.add(job, figures));
    return figures;
  }

  private add(job: Job, figures: OutcomeFigures): void {
    const runs = this.runsByJob.get(job.name) ?? 0;
    const answered = job.answers.filter(({ statusCode }) => statusCode === 200);
    const counts = figures;
    if (job.hangs || (answered.length > 0 && runs === 0)) counts.lost += 1;
    if (job.kind !== 'idempotent' && runs > 1) counts.ranTwice += 1;
    if (job.kind === 'keyed' && new Set(answered.map(({ text }) => text)).size > 1) {
      counts.doubled += 1;
    }
    job.answers.forEach((answer) => this.addAnswer(job, answer, counts));
  }

  private addAnswer(job: Job, answer: CallerAnswer, figures: OutcomeFigures): void {
    const counts = figures;
    if (answer.statusCode === 0) counts.cut += 1;
    else if (answer.statusCode === 200) {
      counts.answered += 1;
      const body = answerSchema.safeParse(JSON.parse(answer.text));
      if (!body.success || body.data.job !== job.name) counts.crossed += 1;
    } else if (answer.executed === 'no') {
      counts.notRun += 1;
      if (this.executedRequestIds.has(requestIdOf(answer))) counts.falseNotRun += 1;
    } else counts.unknown += 1;
  }
}
