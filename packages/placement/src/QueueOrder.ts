/**
 * In which order waiting steps get room. Answers the load in which a queue asks for several times
 * what its pool holds: within a priority, tasks that last come first (they are few and earn all
 * the time), then what can still meet its objective by least slack, then what is late. Behind all
 * that a team is owed comes what teams sent beyond their share, and last what is of no more use.
 */

export interface WaitingStep {
  readonly priority: number;
  readonly isLongRunning: boolean;
  /** When the whole job should have ended, Unix milliseconds. */
  readonly objectiveUnixMs: number;
  /** The time from the job's acceptance to its objective. */
  readonly objectiveMs: number;
  /** Expected time of the work that is left, from now on without waiting. */
  readonly remainingMs: number;
  /** The team sent it beyond its share. */
  readonly isBeyondShare: boolean;
}

/** An answer is worth something until this many times the objective. */
const LATE_FACTOR = 3;

/**
 * Slack that a job needs to count as in time, as a share of the work that is left: a step ends
 * with its slowest task, and estimates are of the mean.
 */
const SAFETY_SHARE = 0.25;

/** How much an answer to a step's job is still worth. */
export type Urgency = 'in-time' | 'late' | 'beyond-share' | 'worthless';

const URGENCY_RANK: Record<Urgency, number> = {
  'in-time': 0,
  late: 1,
  'beyond-share': 2,
  worthless: 3,
};

export class QueueOrder {
  /** Orders the steps, most urgent first. */
  static sort<T extends WaitingStep>(steps: readonly T[], nowUnixMs: number): T[] {
    return [...steps]
      .map((step) => ({ step, keys: QueueOrder.keysOf(step, nowUnixMs) }))
      .sort((a, b) => QueueOrder.compare(a.keys, b.keys))
      .map(({ step }) => step);
  }

  private static keysOf(step: WaitingStep, nowUnixMs: number): number[] {
    const urgency = QueueOrder.urgencyOf(step, nowUnixMs);
    const slackMs = QueueOrder.slackMsOf(step, nowUnixMs);
    return [step.priority, step.isLongRunning ? 0 : 1, URGENCY_RANK[urgency], slackMs];
  }

  private static slackMsOf(step: WaitingStep, nowUnixMs: number): number {
    return step.objectiveUnixMs - nowUnixMs - step.remainingMs;
  }

  static urgencyOf(step: WaitingStep, nowUnixMs: number): Urgency {
    const slackMs = QueueOrder.slackMsOf(step, nowUnixMs);
    const graceMs = step.objectiveMs * (LATE_FACTOR - 1);
    if (slackMs + graceMs < 0) return 'worthless';
    if (step.isBeyondShare) return 'beyond-share';
    return slackMs >= step.remainingMs * SAFETY_SHARE ? 'in-time' : 'late';
  }

  private static compare(a: readonly number[], b: readonly number[]): number {
    for (let index = 0; index < a.length; index += 1) {
      const difference = (a[index] ?? 0) - (b[index] ?? 0);
      if (difference !== 0) return difference;
    }
    return 0;
  }
}
