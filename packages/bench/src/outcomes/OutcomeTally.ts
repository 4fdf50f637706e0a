/**
 * Compares the answers that callers received with the runs that the targets recorded. It has no
 * side effects, and all figures of the bench come from it. A refusal is matched to runs by its
 * request id, an answer by the job that it names.
 */
import { type TargetRun } from '@acaciadock/testkit';
import { type CallerAnswer } from '@acaciadock/scenarios';
import { z } from 'zod';
import { type Job } from './Job.js';

const answerSchema = z.object({ job: z.string(), requestId: z.string() });

export interface OutcomeFigures {
  /** Jobs that were answered although no target ran them, or that timed out (`Job.timedOut`). */
  lost: number;
  /** Jobs with a key that received two different answers. */
  doubled: number;
  /** Answers that name another job than the one that was sent. */
  crossed: number;
  /** Answers that say "not run" although a target ran the request. */
  falseNotRun: number;
  /** Non-idempotent jobs that ran more than once. */
  ranTwice: number;
  answered: number;
  /** Answers that say that the work did not run. */
  notRun: number;
  /** Answers with an error status that do not rule out that the work ran. */
  unknown: number;
  /** Requests that ended without an answer: the entry was killed or the caller hung up. */
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
    if (job.timedOut || (answered.length > 0 && runs === 0)) counts.lost += 1;
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
