/**
 * Collects this controller's observations about the open jobs and decides the next action for each.
 * The observations are kept in memory only; a new controller makes its own.
 */
import { type Clock, type InstanceId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { type OperationState } from '@acaciadock/platform';
import { AvailabilityBudget, type Demand } from './AvailabilityBudget.js';
import { type DrainTracker } from './DrainTracker.js';
import { type FleetHealth } from './FleetHealth.js';
import { type JobAction, type JobDecider, type JobFacts } from './JobDecider.js';
import { outOfService } from './JobOpener.js';
import { type Job } from './MaintenanceState.js';

export interface JobStep {
  readonly job: Job;
  readonly action: JobAction;
}

export interface VersionedDocument {
  readonly document: ConfigDocument;
  readonly version: number;
}

export class JobMonitor {
  private readonly operations = new Map<string, OperationState>();

  private readonly passedChecks = new Map<string, number>();

  private roleSinceMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly decider: JobDecider,
    private readonly tracker: DrainTracker,
    private readonly health: FleetHealth,
  ) {}

  /** Starts a new term of the role. Time without a controller does not count towards timeouts. */
  begin(): void {
    this.roleSinceMs = this.clock.unixMs();
    this.operations.clear();
    this.passedChecks.clear();
  }

  /** Records the state of the platform operation of a job. */
  operation(jobId: string, state: OperationState): void {
    this.operations.set(jobId, state);
  }

  /**
   * Records a health check; `job` is the job as it was when the check started. The checks of a job
   * are counted from its latest entry into `probing`.
   */
  checked(job: Job, healthy: boolean): void {
    const key = JobMonitor.probingKey(job);
    this.passedChecks.set(key, healthy ? (this.passedChecks.get(key) ?? 0) + 1 : 0);
    if (healthy) this.health.checked(job.instanceId, true);
  }

  /** Decides the next action for each job. Must be called regularly, as it advances the drains. */
  decide(
    jobs: readonly Job[],
    { document, version }: VersionedDocument,
    demand: Demand,
  ): readonly JobStep[] {
    this.forgetEnded(jobs);
    const out = outOfService(document, jobs, this.health);
    const budget = new AvailabilityBudget(document, out, demand);
    const leaving = this.health.leaving();
    return jobs.map((job) => {
      const instance = document.instances[job.instanceId];
      this.track(job, document, version);
      const facts: JobFacts = {
        instance,
        pools: document.pools,
        drained: this.tracker.isDrained(job.instanceId),
        operation: this.operations.get(job.jobId),
        passedChecks: this.passedChecks.get(JobMonitor.probingKey(job)) ?? 0,
        timeInStateMs: this.clock.unixMs() - Math.max(job.sinceMs, this.roleSinceMs),
        mustCancel: JobMonitor.mustCancel(job, budget, instance?.poolId),
        leaving: leaving.has(job.instanceId),
      };
      return { job, action: this.decider.next(job, facts) };
    });
  }

  /** Whether the pool is below its budget. A leaving instance goes away in any case. */
  private static mustCancel(
    job: Job,
    budget: AvailabilityBudget,
    poolId: string | undefined,
  ): boolean {
    if (job.purpose === 'leave' || poolId === undefined) return false;
    return budget.shortfallNow(poolId) !== undefined;
  }

  /** Identifies one state of a job: checks started in an earlier state do not count. */
  private static probingKey(job: Job): string {
    return `${job.jobId} ${job.sinceMs}`;
  }

  /** Tracks the drain of the job's instance while it is closed. */
  private track(job: Job, document: ConfigDocument, version: number): void {
    const instance = document.instances[job.instanceId];
    if (!instance || instance.intent === 'serving') {
      this.tracker.forget(job.instanceId);
      return;
    }
    const leasesMs = Object.values(document.services)
      .filter(({ poolId }) => poolId === instance.poolId)
      .map(({ taskLeaseMs }) => taskLeaseMs);
    this.tracker.close(job.instanceId, version, Math.max(0, ...leasesMs));
  }

  private forgetEnded(jobs: readonly Job[]): void {
    const jobIds = new Set(jobs.map(({ jobId }) => jobId));
    const probing = new Set(jobs.map((job) => JobMonitor.probingKey(job)));
    const instanceIds = new Set<InstanceId>(jobs.map(({ instanceId }) => instanceId));
    [...this.operations.keys()]
      .filter((jobId) => !jobIds.has(jobId))
      .forEach((jobId) => this.operations.delete(jobId));
    [...this.passedChecks.keys()]
      .filter((key) => !probing.has(key))
      .forEach((key) => this.passedChecks.delete(key));
    this.tracker.closed
      .filter((instanceId) => !instanceIds.has(instanceId))
      .forEach((instanceId) => this.tracker.forget(instanceId));
  }
}
