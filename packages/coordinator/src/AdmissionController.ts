/**
 * Applies the admission policy to submissions. It keeps, for each pool, the sums of the work that a
 * scheduling pass left without room, and asks for the room that the pool has or can get.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type JobDefinition, type JobsConfigView, type StepSpec } from '@acaciadock/jobs';
import {
  AdmissionPolicy,
  type JobAdmission,
  type JobCandidate,
  PoolBacklog,
  type PoolLoad,
  type PoolRoom,
  QueueOrder,
  type RejectedSizes,
  ResourceVector,
  type RuntimeEstimates,
} from '@acaciadock/placement';
import { OVERLOADED } from './JobService.js';
import { type QueuedStep } from './QueuedStep.js';
import { plannedTimesOf } from './plannedTimes.js';
import { type TargetTable } from './TargetTable.js';

/** Shortest interval between two refreshes of a pool's sums, in milliseconds. */
const REFRESH_MS = 50;

/** Ended runs of a queue from which its runtimes are trusted. */
const TRUSTED_RUNS = 8;

/** Weight of teams that are not configured. */
const DEFAULT_WEIGHT = 1;

const CORE_MS = 1_000;

export interface AdmissionOptions {
  /** Time of a move of an instance between pools, in milliseconds. */
  readonly moveMs: number;
  /** Whether jobs that would end too late are refused. */
  readonly refusesOverload: boolean;
}

/** What a pass over a pool has left waiting. */
export interface PassOutcome {
  /** Steps without room. */
  readonly blocked: readonly QueuedStep[];
  /** Task sizes that found no room. */
  readonly rejectedSizes: RejectedSizes;
  /** Time until the waiting suspects have started, at best, in milliseconds. */
  readonly suspectWaitMs: number;
}

export interface AdmissionControllerDeps {
  readonly estimates: RuntimeEstimates;
  readonly targets: TargetTable;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
  /** Room of a pool of a fleet that can be moved; undefined until its instances are known. */
  readonly roomOf: ((poolId: string) => PoolRoom | undefined) | undefined;
}

export class AdmissionController {
  private readonly policy: AdmissionPolicy;

  private readonly loads = new Map<string, PoolLoad>();

  constructor(
    private readonly options: AdmissionOptions,
    private readonly deps: AdmissionControllerDeps,
  ) {
    this.policy = new AdmissionPolicy(options.moveMs);
  }

  /** Records what a pass over the pool left waiting. */
  refresh(poolId: string, { blocked, rejectedSizes, suspectWaitMs }: PassOutcome): void {
    const atMs = this.deps.clock.monotonicMs();
    if (blocked.length === 0 && suspectWaitMs === 0) {
      this.loads.delete(poolId);
      return;
    }
    if (atMs - (this.loads.get(poolId)?.atMs ?? -Infinity) < REFRESH_MS) return;
    const backlog = new PoolBacklog();
    blocked.forEach((queued) => this.addTo(backlog, queued));
    const room = this.roomOf(poolId);
    this.loads.set(poolId, { atMs, room, backlog, rejectedSizes, suspectWaitMs });
  }

  /** Whether this submission, and not only one with its id, was refused because of load a short while ago. */
  hasReturned(definition: JobDefinition): boolean {
    const key = AdmissionController.keyOf(definition);
    return this.policy.hasReturned(key, this.deps.clock.monotonicMs());
  }

  /** Milliseconds after which the caller may return, if the job is refused because of load. */
  refusalFor(definition: JobDefinition, startsAsSuspect: boolean): number | undefined {
    const { clock, config } = this.deps;
    const poolId = config().queue(definition.queueId)?.poolId ?? definition.poolId;
    const load = this.loads.get(poolId);
    if (!load || !this.options.refusesOverload || !this.isPredictable(definition)) return undefined;
    const nowMs = clock.monotonicMs();
    const job = { ...this.candidateOf(definition), startsAsSuspect };
    const admission = this.policy.decide(job, load, nowMs, clock.unixMs());
    this.log(definition, poolId, job, load, admission);
    if (admission.decision.kind === 'admitted') return undefined;
    this.policy.recordRefused(AdmissionController.keyOf(definition), nowMs);
    return admission.decision.retryAfterMs;
  }

  private static keyOf({ jobId, queueId, teamId }: JobDefinition): string {
    return `${jobId}/${queueId}/${teamId}`;
  }

  private addTo(backlog: PoolBacklog, queued: QueuedStep): void {
    const { definition } = queued.entry.job;
    const { spec, waitingTasks } = queued.step;
    if (!this.isPredictable(definition) || !AdmissionController.needsOnlyCapacity(spec)) return;
    const { clock, estimates } = this.deps;
    const runtimeMs = estimates.meanMs(definition.queueId, spec.estimatedRuntimeMs);
    backlog.add(
      {
        priority: queued.priority,
        urgency: QueueOrder.urgencyOf(queued, clock.unixMs()),
        hasReturned: queued.entry.hasReturned,
        teamId: definition.teamId,
        latestStartUnixMs: queued.objectiveUnixMs - queued.remainingMs,
      },
      spec,
      waitingTasks.length * runtimeMs,
    );
  }

  /**
   * Whether the times of the job can be predicted. Not those of long-running and scheduled jobs, of
   * queues that wait for advice, and of queues with too few runs.
   */
  private isPredictable({ queueId, spec }: JobDefinition): boolean {
    if (spec.schedule || spec.steps.some((step) => step.longRunning)) return false;
    if (this.deps.config().queue(queueId)?.advice) return false;
    return this.deps.estimates.isTrusted(queueId, TRUSTED_RUNS);
  }

  /** Whether a task waits for nothing but free capacity, which it takes from others once it runs. */
  private static needsOnlyCapacity(step: StepSpec): boolean {
    return !step.filler && !step.gang && step.requiredLabel === '' && step.mostPerTarget === 0;
  }

  private candidateOf(definition: JobDefinition): Omit<JobCandidate, 'startsAsSuspect'> {
    const { queueId, teamId, spec, acceptedUnixMs, isBeyondShare } = definition;
    const { chainMs, objectiveMs } = plannedTimesOf(definition, (step) =>
      this.deps.estimates.meanMs(queueId, step.estimatedRuntimeMs),
    );
    return {
      priority: this.deps.config().queue(queueId)?.priority ?? definition.priority,
      isLongRunning: false,
      objectiveMs,
      objectiveUnixMs: acceptedUnixMs + objectiveMs,
      remainingMs: chainMs,
      isBeyondShare,
      hasReturned: this.hasReturned(definition),
      teamId,
      firstSteps: spec.steps.filter((step) => step.afterSteps.length === 0),
      weightOf: (id) => this.deps.config().team(id)?.weight ?? DEFAULT_WEIGHT,
    };
  }

  /**
   * Without a fleet that can be moved, the room of a pool is that of its targets. Targets under
   * evacuation are no room, so what their long-running tasks hold isn't taken from that of the others.
   */
  private roomOf(poolId: string): PoolRoom | undefined {
    const { targets, roomOf } = this.deps;
    if (!targets.isListed) return undefined;
    const ofPool = targets.ofPool(poolId).filter((target) => !target.isEvacuated);
    const known = roomOf ? roomOf(poolId) : undefined;
    if (roomOf && !known) return undefined;
    let present = ResourceVector.ZERO;
    if (known) present = present.plus(known.present);
    else
      ofPool.forEach(({ capacity }) => {
        present = present.plus(capacity);
      });
    ofPool.forEach(({ runs }) =>
      runs.forEach(({ place }) => {
        const { spec } = place.step;
        if (spec.longRunning && !spec.filler) present = present.plus(spec, -1);
      }),
    );
    return { movable: ResourceVector.ZERO, spareCount: 0, ...known, present };
  }

  private log(
    { jobId, queueId, teamId }: JobDefinition,
    poolId: string,
    job: JobCandidate,
    load: PoolLoad,
    { decision, predictedWaitMs, budgetMs, portion, ahead }: JobAdmission,
  ): void {
    const isRefused = decision.kind === 'late';
    // Admitted jobs are only counted; each has a line of its own once it is accepted.
    const fields = {
      jobId,
      queueId,
      teamId,
      poolId,
      reason: isRefused ? OVERLOADED : 'admitted',
      predictedWaitMs: Math.round(predictedWaitMs),
      budgetMs: Math.round(budgetMs),
      objectiveMs: Math.round(job.objectiveMs),
      aheadCoreMs: Math.round(ahead.cpuMilli / CORE_MS),
      aheadMemoryMbMs: Math.round(ahead.memoryMb),
      roomCpuMilli: load.room?.present.cpuMilli,
      roomMemoryMb: load.room?.present.memoryMb,
      movableCpuMilli: load.room?.movable.cpuMilli,
      isBeyondShare: job.isBeyondShare,
      portion: Number(portion.toFixed(4)),
      hasReturned: job.hasReturned,
      retryAfterMs: isRefused ? decision.retryAfterMs : undefined,
    };
    if (isRefused) this.deps.logger.info('job-refused', fields);
    else this.deps.logger.debug('job-admitted', fields);
  }
}
