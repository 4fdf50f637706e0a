/** Decides which targets of a pool get no work because of the outcomes of their runs. */
import { type TargetId } from '@acaciadock/core';

/** The outcome of a run, as evidence of the health of its target. */
export interface HealthSample {
  readonly targetId: TargetId;
  readonly succeeded: boolean;
  /**
   * Targets of the earlier attempts of the same request. They include targets that refused the run
   * or were not sent it, since the gateway retries after those as well.
   */
  readonly previousTargetIds: readonly TargetId[];
}

export type HealthChange = 'ejected' | 'restored';

export abstract class HealthPolicy {
  /** Sets the targets of the pool and the maximum number ejected at the same time. */
  abstract configure(targetIds: readonly TargetId[], maxEjected: number): void;

  /** Records the outcome of a run. Returns the change of its target; undefined if there is none. */
  abstract record(sample: HealthSample, nowMs: number): HealthChange | undefined;

  /** Ejected targets that are due for a trial run; each is returned once per backoff period. */
  abstract dueForTrial(nowMs: number): readonly TargetId[];

  /** Records that a trial run was not carried out, so that the target is due for one again. */
  abstract abandonTrial(targetId: TargetId, nowMs: number): void;

  abstract isEjected(targetId: TargetId): boolean;

  abstract readonly ejectedCount: number;
}
