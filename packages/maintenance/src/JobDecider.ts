/**
 * Decides the next action for one open job. The decision depends only on the job's recorded state
 * and on facts that can be observed again, so a new controller continues where the previous one
 * stopped.
 */
import { type InstanceConfig, type PoolConfig } from '@acaciadock/config';
import { type OperationState } from '@acaciadock/platform';
import { type InstanceState } from './InstanceState.js';
import { type Job } from './MaintenanceState.js';

export interface JobLimits {
  /** Consecutive health checks that must pass before an instance returns to service. */
  readonly checksToReturn: number;
  /** A rebooted instance that is not healthy after this time counts as failed. */
  readonly probeTimeoutMs: number;
}

export const DEFAULT_JOB_LIMITS: JobLimits = { checksToReturn: 2, probeTimeoutMs: 120_000 };

/** Current observations about the job's instance. */
export interface JobFacts {
  /** Undefined if the instance is no longer in the configuration. */
  readonly instance: InstanceConfig | undefined;
  readonly pools: Readonly<Record<string, PoolConfig>>;
  /** No run is open at any gateway, as far as this controller has observed. */
  readonly drained: boolean;
  /** State of the platform operation with the job's id; undefined until its first answer. */
  readonly operation: OperationState | undefined;
  /** Consecutive health checks passed since the job entered `probing`. */
  readonly passedChecks: number;
  /** Time that the job has been in its current state, while this entry was the controller. */
  readonly timeInStateMs: number;
  /** The pool is below its budget, so any step that can still be cancelled must be. */
  readonly mustCancel: boolean;
  /** The platform lists the instance as leaving. */
  readonly leaving: boolean;
}

export type JobAction =
  | { readonly kind: 'transition'; readonly to: InstanceState }
  /** End the job: its instance is no longer in the configuration. */
  | { readonly kind: 'drop' }
  /** Patch the configuration so that the instance gets no new work. */
  | { readonly kind: 'close' }
  /** Patch the configuration so that the instance gets work again. */
  | { readonly kind: 'reopen' }
  /** Patch the configuration to assign the instance to another pool. */
  | { readonly kind: 'change-pool'; readonly toPoolId: string }
  | { readonly kind: 'reboot' }
  | { readonly kind: 'check-health' }
  | { readonly kind: 'wait' };

const WAIT: JobAction = { kind: 'wait' };

function to(state: InstanceState): JobAction {
  return { kind: 'transition', to: state };
}

export class JobDecider {
  constructor(private readonly limits: JobLimits = DEFAULT_JOB_LIMITS) {}

  next(job: Job, facts: JobFacts): JobAction {
    const { instance } = facts;
    if (!instance) return { kind: 'drop' };
    if (job.state === 'draining') return JobDecider.draining(job, facts, instance);
    if (job.state === 'drained') return JobDecider.drained(job, facts, instance);
    if (job.state === 'rebooting') return JobDecider.rebooting(facts);
    if (job.state === 'probing') return this.probing(job, facts, instance);
    if (job.state === 'moving') return JobDecider.moving(job, facts, instance);
    return WAIT;
  }

  private static isCancelled(job: Job, facts: JobFacts): boolean {
    if (job.purpose === 'leave') return !facts.leaving;
    return job.cancelled || facts.mustCancel;
  }

  private static draining(job: Job, facts: JobFacts, instance: InstanceConfig): JobAction {
    if (JobDecider.isCancelled(job, facts)) return to('probing');
    if (instance.intent === 'serving') return { kind: 'close' };
    return facts.drained ? to('drained') : WAIT;
  }

  private static drained(job: Job, facts: JobFacts, instance: InstanceConfig): JobAction {
    if (JobDecider.isCancelled(job, facts)) return to('probing');
    if (job.purpose === 'leave') return WAIT;
    // An operator reopened the instance, so it may have new work.
    if (instance.intent === 'serving') return to('probing');
    if (!facts.drained) return WAIT;
    return to(job.purpose === 'move' ? 'moving' : 'rebooting');
  }

  /** A recorded reboot is always completed, even if a previous controller recorded it. */
  private static rebooting(facts: JobFacts): JobAction {
    if (facts.operation === 'succeeded') return to('probing');
    if (facts.operation === 'failed') return to('failed');
    return { kind: 'reboot' };
  }

  private probing(job: Job, facts: JobFacts, instance: InstanceConfig): JobAction {
    if (facts.passedChecks >= this.limits.checksToReturn) {
      if (instance.intent === 'maintenance') return { kind: 'reopen' };
      return to(JobDecider.inServiceState(facts, instance));
    }
    // An instance that was not rebooted may be in a failed rack, so there is no timeout for it.
    if (job.rebooted && facts.timeInStateMs > this.limits.probeTimeoutMs) return to('failed');
    return { kind: 'check-health' };
  }

  private static moving(job: Job, facts: JobFacts, instance: InstanceConfig): JobAction {
    const { toPoolId } = job;
    if (toPoolId === undefined || !Object.hasOwn(facts.pools, toPoolId)) return to('probing');
    if (instance.poolId !== toPoolId) return { kind: 'change-pool', toPoolId };
    return to(JobDecider.inServiceState(facts, instance));
  }

  private static inServiceState(facts: JobFacts, instance: InstanceConfig): InstanceState {
    return facts.pools[instance.poolId]?.role === 'spare' ? 'spare' : 'serving';
  }
}
