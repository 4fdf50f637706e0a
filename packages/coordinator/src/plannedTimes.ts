/** Times of a job that follow from its specification and the expected runtimes of its steps. */
import { criticalPathMs, type JobDefinition, type StepSpec } from '@acaciadock/jobs';

export interface PlannedTimes {
  /** Duration of the whole job if no step waits, in milliseconds. */
  readonly chainMs: number;
  /** Latency objective of the whole job, in milliseconds after its acceptance. */
  readonly objectiveMs: number;
}

export function plannedTimesOf(
  { stretch, targetLatencyMs, spec }: JobDefinition,
  runtimeMsOf: (step: StepSpec, index: number) => number,
): PlannedTimes {
  const chainMs = criticalPathMs(spec.steps, runtimeMsOf);
  return { chainMs, objectiveMs: stretch * chainMs + targetLatencyMs };
}
