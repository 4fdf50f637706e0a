/**
 * Decides whether a new job is refused because of load: only if, even by an optimistic prediction of
 * its start, it would end after its result has lost its value. The prediction is a fluid one. The work
 * ahead of the job in the order of `QueueOrder` and `FairShares` is served by all the room that the
 * pool has and can get. Later arrivals, restarts and fragments of instances are left out, all of
 * which would make the wait longer. Work in flight is left out as well, as about as much is in flight
 * when the job starts; only room held by long-running tasks isn't expected to become free. A job whose
 * tasks start as suspects of crashing targets also waits for those before it, whatever room there is.
 */
import { type AdmissionDecision, admitWithin, fluidWaitMs } from '@acaciadock/core';
import { type StepSpec } from '@acaciadock/jobs';
import { type PoolBacklog, type WorkClass } from './PoolBacklog.js';
import { QueueOrder, type WaitingStep, WORTHLESS_FACTOR } from './QueueOrder.js';
import { type RejectedSizes } from './RejectedSizes.js';
import { type Resources, ResourceVector } from './ResourceVector.js';

/** A prediction is stale after three regular passes without a new one, in milliseconds. */
const MAX_AGE_MS = 300;

/** Whole seconds: the unit of the header, and within the patience of callers. */
const RETRY_AFTER = { minMs: 1_000, maxMs: 3_000 };
const MS_PER_S = 1_000;

/** A refused job is expected back after `RETRY_AFTER` and the delays of its caller, milliseconds. */
const REMEMBERED_MS = 5_000;

/** Refused jobs that are remembered: some seconds of hundreds of submissions a second. */
const MAX_REMEMBERED = 4_096;

/** The room of a pool, without what long-running tasks hold. */
export interface PoolRoom {
  /** Resources of the pool's instances. */
  readonly present: Resources;
  /** Resources of the instances that move to the pool or could be moved there. */
  readonly movable: Resources;
  /** Spare instances that could be moved now. */
  readonly spareCount: number;
}

/** What a scheduling pass found in a pool. */
export interface PoolLoad {
  readonly atMs: number;
  /** Undefined while the instances are not known well enough. */
  readonly room: PoolRoom | undefined;
  readonly backlog: PoolBacklog;
  /** Task sizes that found no room. */
  readonly rejectedSizes: RejectedSizes;
  /** Time until the suspects that wait for isolated targets have started, at best, in milliseconds. */
  readonly suspectWaitMs: number;
}

/** A new job, in the terms of its first steps. */
export interface JobCandidate extends WaitingStep {
  readonly hasReturned: boolean;
  /** Its tasks start as suspects of crashing targets, after those that wait, whatever room there is. */
  readonly startsAsSuspect: boolean;
  readonly teamId: string;
  readonly firstSteps: readonly StepSpec[];
  readonly weightOf: (teamId: string) => number;
}

/** The decision with its inputs, for the log. */
export interface JobAdmission {
  readonly decision: AdmissionDecision;
  readonly predictedWaitMs: number;
  /** Longest wait after which the result still has a value. */
  readonly budgetMs: number;
  /** Part of the pool that the team gets among the teams that wait. */
  readonly portion: number;
  /** Work ahead of the job, in resources times milliseconds. */
  readonly ahead: Resources;
}

const NOT_PREDICTED: JobAdmission = {
  decision: { kind: 'admitted' },
  predictedWaitMs: 0,
  budgetMs: Infinity,
  portion: 1,
  ahead: ResourceVector.ZERO,
};

export class AdmissionPolicy {
  /** End of the memory of each refused job by its key, monotonic milliseconds, oldest first. */
  private readonly refused = new Map<string, number>();

  private refusals = 0;

  /** `moveMs` is the time of a move of an instance between pools. */
  constructor(private readonly moveMs: number) {}

  /** Whether the job was refused because of load a short while ago. */
  hasReturned(jobKey: string, nowMs: number): boolean {
    return (this.refused.get(jobKey) ?? -Infinity) > nowMs;
  }

  recordRefused(jobKey: string, nowMs: number): void {
    this.refused.delete(jobKey);
    this.refused.set(jobKey, nowMs + REMEMBERED_MS);
    for (const [oldest, untilMs] of this.refused) {
      if (untilMs > nowMs && this.refused.size <= MAX_REMEMBERED) return;
      this.refused.delete(oldest);
    }
  }

  decide(
    job: JobCandidate,
    load: PoolLoad | undefined,
    nowMs: number,
    nowUnixMs: number,
  ): JobAdmission {
    const room = load?.room;
    if (!load || !room || nowMs - load.atMs > MAX_AGE_MS) return NOT_PREDICTED;
    const budgetMs =
      job.objectiveUnixMs + job.objectiveMs * (WORTHLESS_FACTOR - 1) - job.remainingMs - nowUnixMs;
    const couldMoveSpare = room.spareCount > 0 && this.moveMs <= budgetMs;
    if (couldMoveSpare || budgetMs <= 0) return NOT_PREDICTED;
    const suspectWaitMs = AdmissionPolicy.suspectWaitMs(load, room);
    if (job.startsAsSuspect && suspectWaitMs > budgetMs) {
      const decision = admitWithin(suspectWaitMs, budgetMs, RETRY_AFTER);
      return this.spread({ ...NOT_PREDICTED, decision, predictedWaitMs: suspectWaitMs, budgetMs });
    }
    // A size that was not rejected may fit now.
    if (!job.firstSteps.every((step) => load.rejectedSizes.excludes(step))) return NOT_PREDICTED;
    const portion = AdmissionPolicy.portionOf(job, load.backlog);
    const urgency = job.isBeyondShare ? 'beyond-share' : 'in-time';
    const predict = (ofClass: 'in-time' | 'late' | 'beyond-share'): JobAdmission => {
      const ahead = AdmissionPolicy.aheadOf(job, ofClass, load.backlog, portion);
      const predictedWaitMs = this.waitMs(ahead, room);
      const decision = admitWithin(predictedWaitMs, budgetMs, RETRY_AFTER);
      return { decision, predictedWaitMs, budgetMs, portion, ahead };
    };
    const first = predict(urgency);
    const isLate =
      QueueOrder.urgencyOf(job, nowUnixMs + Math.min(first.predictedWaitMs, budgetMs)) === 'late';
    // A job that becomes late while it waits goes behind those that were late before it.
    return this.spread(isLate ? predict('late') : first);
  }

  /** Instances that move to the pool or could be moved there will take their part of the suspects. */
  private static suspectWaitMs(
    { suspectWaitMs }: PoolLoad,
    { present, movable }: PoolRoom,
  ): number {
    const cpuMilli = present.cpuMilli + movable.cpuMilli;
    return cpuMilli === 0 ? 0 : (suspectWaitMs * present.cpuMilli) / cpuMilli;
  }

  /** Part of the pool that the team gets if all teams with waiting work want their part. */
  private static portionOf({ teamId, weightOf }: JobCandidate, backlog: PoolBacklog): number {
    const teamIds = backlog.teamIds.add(teamId);
    const total = [...teamIds].reduce((sum, id) => sum + weightOf(id), 0);
    return total > 0 ? weightOf(teamId) / total : 1;
  }

  /**
   * Work that starts before the job: all of the classes before its own, and in its class what its
   * team has ahead of it, with as much of the other teams as they are served meanwhile. An entitled
   * job counts the work of entitled jobs only.
   */
  private static aheadOf(
    job: JobCandidate,
    ofClass: 'in-time' | 'late' | 'beyond-share',
    backlog: PoolBacklog,
    portion: number,
  ): ResourceVector {
    const counted = job.isBeyondShare ? ['in-time', 'late', 'beyond-share'] : ['in-time', 'late'];
    const sameClass = ofClass === 'late' ? counted : [ofClass];
    const isSame = (one: WorkClass): boolean =>
      one.priority === job.priority &&
      sameClass.includes(one.urgency) &&
      (one.hasReturned || !job.hasReturned);
    const isBefore = (one: WorkClass): boolean => {
      if (!counted.includes(one.urgency)) return false;
      if (one.priority !== job.priority) return one.priority < job.priority;
      return ofClass === 'beyond-share' && one.urgency !== ofClass;
    };
    const latestStartUnixMs = job.objectiveUnixMs - job.remainingMs;
    const own = backlog.sumOf(
      (one) =>
        one.teamId === job.teamId && isSame(one) && one.latestStartUnixMs <= latestStartUnixMs,
    );
    const others = backlog.sumOf((one) => one.teamId !== job.teamId && isSame(one));
    const limit = (ownWork: number, otherWork: number): number =>
      portion > 0
        ? Math.min(ownWork + otherWork, fluidWaitMs(ownWork, portion))
        : ownWork + otherWork;
    return backlog.sumOf(isBefore).plus({
      cpuMilli: limit(own.cpuMilli, others.cpuMilli),
      memoryMb: limit(own.memoryMb, others.memoryMb),
      gpuCount: limit(own.gpuCount, others.gpuCount),
    });
  }

  /** Time until the room has served the work; movable instances help once they have moved. */
  private waitMs(ahead: ResourceVector, { present, movable }: PoolRoom): number {
    const presentMs = ahead.largestPartOf(present);
    if (presentMs <= this.moveMs) return presentMs;
    const all = ResourceVector.ZERO.plus(present).plus(movable);
    const left = ahead.plus(present, -this.moveMs);
    return this.moveMs + Math.max(0, left.largestPartOf(all));
  }

  /** Rounds the return to whole seconds, and lets every other caller return a second earlier. */
  private spread(admission: JobAdmission): JobAdmission {
    if (admission.decision.kind === 'admitted') return admission;
    this.refusals += 1;
    const seconds = Math.ceil(admission.decision.retryAfterMs / MS_PER_S) - (this.refusals % 2);
    const retryAfterMs = Math.max(RETRY_AFTER.minMs, seconds * MS_PER_S);
    return { ...admission, decision: { kind: 'late', retryAfterMs } };
  }
}
