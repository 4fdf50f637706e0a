/** Times of a job that follow from its specification and the estimated runtimes of its queue. */
import { criticalPathMs, type JobDefinition } from '@acaciadock/jobs';
import { type RuntimeEstimates } from '@acaciadock/placement';

export interface PlannedTimes {
  /** Duration of the whole job if no step waits, in milliseconds. */
  readonly chainMs: number;
  /** Latency objective of the whole job, in milliseconds after its acceptance. */
  readonly objectiveMs: number;
}

export function plannedTimesOf(
  { stretch, targetLatencyMs, queueId, spec }: JobDefinition,
  estimates: RuntimeEstimates,
): PlannedTimes {
  const chainMs = criticalPathMs(spec.steps, (step) =>
    estimates.meanMs(queueId, step.estimatedRuntimeMs),
  );
  return { chainMs, objectiveMs: stretch * chainMs + targetLatencyMs };
}
