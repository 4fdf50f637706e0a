/**
 * What to do next for one open job. It depends only on the job's recorded state and on what can
 * be observed again, so a successor goes on where the last controller stopped.
 */
import { type InstanceConfig, type PoolConfig } from '@acaciadock/config';
import { type OperationState } from '@acaciadock/platform';
import { type InstanceState } from './InstanceState.js';
import { type Job } from './MaintenanceState.js';

export interface JobLimits {
  /** Health checks in a row that must pass before an instance returns. */
  readonly checksToReturn: number;
  /** An instance that was rebooted and is not healthy after this time has failed. */
  readonly probeTimeoutMs: number;
}

export const DEFAULT_JOB_LIMITS: JobLimits = { checksToReturn: 2, probeTimeoutMs: 120_000 };

/** What is observed of the job's instance now. */
export interface JobFacts {
  /** Undefined if the configuration no longer has the instance. */
  readonly instance: InstanceConfig | undefined;
  readonly pools: Readonly<Record<string, PoolConfig>>;
  readonly drained: boolean;
  /** State of the platform's operation under the job's id; undefined if not asked yet. */
  readonly operation: OperationState | undefined;
  /** Health checks passed in a row since the job began to probe. */
  readonly passedChecks: number;
  /** Time in the present state. */
  readonly stateMs: number;
  /** The pool misses its budget: a step that can still be given up must be. */
  readonly mustGiveWay: boolean;
  /** The platform says that the instance is leaving. */
  readonly leaving: boolean;
}

export type JobAction =
  | { readonly kind: 'transition'; readonly to: InstanceState }
  /** The instance is gone from the configuration. */
  | { readonly kind: 'drop' }
  /** Patch: no new work. */
  | { readonly kind: 'close' }
  /** Patch: takes work again. */
  | { readonly kind: 'reopen' }
  /** Patch: the other pool. */
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

  private static isGivenUp(job: Job, facts: JobFacts): boolean {
    if (job.purpose === 'leave') return !facts.leaving;
    return job.cancelled || facts.mustGiveWay;
  }

  private static draining(job: Job, facts: JobFacts, instance: InstanceConfig): JobAction {
    if (JobDecider.isGivenUp(job, facts)) return to('probing');
    if (instance.intent === 'serving') return { kind: 'close' };
    return facts.drained ? to('drained') : WAIT;
  }

  private static drained(job: Job, facts: JobFacts, instance: InstanceConfig): JobAction {
    if (JobDecider.isGivenUp(job, facts)) return to('probing');
    if (job.purpose === 'leave') return WAIT;
    // An operator has opened the instance by hand: it may have new work.
    if (instance.intent === 'serving') return to('probing');
    if (!facts.drained) return WAIT;
    return to(job.purpose === 'move' ? 'moving' : 'rebooting');
  }

  /** A recorded reboot is always carried through, whoever recorded it. */
  private static rebooting(facts: JobFacts): JobAction {
    if (facts.operation === 'succeeded') return to('probing');
    if (facts.operation === 'failed') return to('failed');
    return { kind: 'reboot' };
  }

  private probing(job: Job, facts: JobFacts, instance: InstanceConfig): JobAction {
    if (facts.passedChecks >= this.limits.checksToReturn) {
      if (instance.intent === 'maintenance') return { kind: 'reopen' };
      return to(JobDecider.restState(facts, instance));
    }
    // One that was not rebooted may be in a lost rack: it is waited for.
    if (job.rebooted && facts.stateMs > this.limits.probeTimeoutMs) return to('failed');
    return { kind: 'check-health' };
  }

  private static moving(job: Job, facts: JobFacts, instance: InstanceConfig): JobAction {
    const { toPoolId } = job;
    if (toPoolId === undefined || !Object.hasOwn(facts.pools, toPoolId)) return to('probing');
    if (instance.poolId !== toPoolId) return { kind: 'change-pool', toPoolId };
    return to(JobDecider.restState(facts, instance));
  }

  private static restState(facts: JobFacts, instance: InstanceConfig): InstanceState {
    return facts.pools[instance.poolId]?.role === 'spare' ? 'spare' : 'serving';
  }
}
