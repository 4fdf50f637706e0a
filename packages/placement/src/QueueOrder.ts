/**
 * Orders the steps that wait for a pool whose queues may demand several times its capacity. Within
 * a priority, long-running tasks come first, because they are few and each second in which they do
 * not run is lost for good. Then come steps that can still meet their objective, then late ones.
 * Jobs that a team submitted beyond its share follow, so that they do not delay what other teams are
 * entitled to. Steps whose result has lost its value come last. Within each of these classes, jobs
 * that have started come first: if they become late between their steps, their work was wasted. Jobs
 * that have not started follow, in the order of `FairShares` while a pool is scarce, else by least
 * slack.
 */

export interface WaitingStep {
  readonly priority: number;
  readonly isLongRunning: boolean;
  /** Time by which the whole job should have ended, Unix milliseconds. */
  readonly objectiveUnixMs: number;
  /** Milliseconds that the objective allows for the whole job. */
  readonly objectiveMs: number;
  /** Expected duration of the remaining work without queueing, in milliseconds. */
  readonly remainingMs: number;
  /** The team submitted the job beyond its share. */
  readonly isBeyondShare: boolean;
  /** Tasks of the job run or are done, so that work is wasted if the job becomes late. */
  readonly hasStarted?: boolean;
  /** The job was refused because of load before, and goes before new jobs of its urgency. */
  readonly hasReturned?: boolean;
}

/**
 * A job counts as worthless if its result would arrive later than this multiple of its objective
 * after its acceptance.
 */
export const WORTHLESS_FACTOR = 3;

/**
 * Slack that a job needs to count as in time, as a fraction of the remaining work. Estimates are
 * means, but a step ends only with its slowest task. A job that has started needs no margin: behind
 * the jobs that have not, it would lose the work that is done.
 */
const SLACK_MARGIN_SHARE = 0.25;

/** Value that the result of a step's job still has, highest first. */
export type Urgency = 'in-time' | 'late' | 'beyond-share' | 'worthless';

const URGENCY_RANK: Record<Urgency, number> = {
  'in-time': 0,
  late: 1,
  'beyond-share': 2,
  worthless: 3,
};

/**
 * Orders the steps of one class, which are sorted by slack: those of the same priority and urgency
 * whose jobs have either all started or not.
 */
export type ClassOrder<T> = (steps: readonly T[]) => readonly T[];

export class QueueOrder {
  /** Orders the steps, most urgent first. Within a class, `orderClass` may change the order. */
  static sort<T extends WaitingStep>(
    steps: readonly T[],
    nowUnixMs: number,
    orderClass?: ClassOrder<T>,
  ): T[] {
    const sorted = [...steps]
      .map((step) => ({ step, keys: QueueOrder.keysOf(step, nowUnixMs) }))
      .sort((a, b) => QueueOrder.compare(a.keys, b.keys));
    if (!orderClass) return sorted.map(({ step }) => step);
    const classes = new Map<string, T[]>();
    sorted.forEach(({ step, keys }) => {
      const classKey = keys.slice(0, -1).join();
      const ofClass = classes.get(classKey) ?? [];
      ofClass.push(step);
      classes.set(classKey, ofClass);
    });
    return [...classes.values()].flatMap((ofClass) => orderClass(ofClass));
  }

  private static keysOf(step: WaitingStep, nowUnixMs: number): number[] {
    const urgency = QueueOrder.urgencyOf(step, nowUnixMs);
    const slackMs = QueueOrder.slackMsOf(step, nowUnixMs);
    const rank = URGENCY_RANK[urgency];
    return [
      step.priority,
      step.isLongRunning ? 0 : 1,
      rank,
      step.hasStarted ? 0 : 1,
      step.hasReturned ? 0 : 1,
      slackMs,
    ];
  }

  private static slackMsOf(step: WaitingStep, nowUnixMs: number): number {
    return step.objectiveUnixMs - nowUnixMs - step.remainingMs;
  }

  /** Classifies a step by the time left until its objective and by the share of its team. */
  static urgencyOf(step: WaitingStep, nowUnixMs: number): Urgency {
    const slackMs = QueueOrder.slackMsOf(step, nowUnixMs);
    const graceMs = step.objectiveMs * (WORTHLESS_FACTOR - 1);
    if (slackMs + graceMs < 0) return 'worthless';
    if (step.isBeyondShare) return 'beyond-share';
    const marginMs = step.hasStarted ? 0 : step.remainingMs * SLACK_MARGIN_SHARE;
    return slackMs >= marginMs ? 'in-time' : 'late';
  }

  private static compare(a: readonly number[], b: readonly number[]): number {
    for (let index = 0; index < a.length; index += 1) {
      const difference = (a[index] ?? 0) - (b[index] ?? 0);
      if (difference !== 0) return difference;
    }
    return 0;
  }
}
