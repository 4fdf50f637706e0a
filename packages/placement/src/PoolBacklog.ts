/**
 * Sums of the work that waits in a pool, by priority, urgency and team. A scheduling pass fills one
 * from the steps that it left without room; a submission then reads a bounded number of sums, however
 * many tasks wait.
 */
import { type Urgency } from './QueueOrder.js';
import { type Resources, ResourceVector } from './ResourceVector.js';

/** Latest starts are told apart to this many milliseconds. */
const BUCKET_MS = 250;

/** Properties of waiting work that its place in the queue depends on. */
export interface WorkClass {
  readonly priority: number;
  readonly urgency: Urgency;
  /** The job was refused because of load before and goes before new jobs of its urgency. */
  readonly hasReturned: boolean;
  readonly teamId: string;
  /** Start with which the job would just meet its objective, Unix milliseconds. */
  readonly latestStartUnixMs: number;
}

interface WaitingSum {
  readonly ofClass: WorkClass;
  /** Resources times milliseconds. */
  readonly work: ResourceVector;
}

export class PoolBacklog {
  private readonly sums = new Map<string, WaitingSum>();

  /** Adds work that takes the resources for `durationMs` in total. */
  add(ofClass: WorkClass, amount: Resources, durationMs: number): void {
    const { priority, urgency, hasReturned, teamId } = ofClass;
    const bucket = Math.floor(ofClass.latestStartUnixMs / BUCKET_MS);
    const key = JSON.stringify([priority, urgency, hasReturned, teamId, bucket]);
    const latestStartUnixMs = bucket * BUCKET_MS;
    const known = this.sums.get(key) ?? {
      ofClass: { ...ofClass, latestStartUnixMs },
      work: ResourceVector.ZERO,
    };
    this.sums.set(key, { ...known, work: known.work.plus(amount, durationMs) });
  }

  /** The teams that have waiting work. */
  get teamIds(): Set<string> {
    return new Set([...this.sums.values()].map(({ ofClass }) => ofClass.teamId));
  }

  /** The sum of the work that fulfils the condition. */
  sumOf(isIncluded: (ofClass: WorkClass) => boolean): ResourceVector {
    let sum = ResourceVector.ZERO;
    this.sums.forEach(({ ofClass, work }) => {
      if (isIncluded(ofClass)) sum = sum.plus(work);
    });
    return sum;
  }
}
