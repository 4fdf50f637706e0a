/** Which targets of a pool are kept from work because of how their runs ended. */
import { type TargetId } from '@acaciadock/core';

/** What a run that ended tells of its target. */
export interface HealthSample {
  readonly targetId: TargetId;
  readonly succeeded: boolean;
  /** Targets on which the same request had failed before. */
  readonly failedBefore: readonly TargetId[];
}

export type HealthChange = 'ejected' | 'restored';

export abstract class HealthPolicy {
  /** Sets the targets of the pool and how many of them may be ejected at once. */
  abstract configure(targetIds: readonly TargetId[], maxEjected: number): void;

  /** Counts a run. Returns what changed for its target; undefined if nothing did. */
  abstract record(sample: HealthSample, nowMs: number): HealthChange | undefined;

  /** Ejected targets that are due for one trial run; each is named once for each backoff. */
  abstract dueForTrial(nowMs: number): readonly TargetId[];

  /** The trial run was not started after all: the target is due again. */
  abstract abandonTrial(targetId: TargetId, nowMs: number): void;

  abstract isEjected(targetId: TargetId): boolean;

  abstract readonly ejectedCount: number;
}
