/** A step with tasks that wait to be started, with the values that its queue order depends on. */
import { type Occurrence, type StepState } from '@acaciadock/jobs';
import { type WaitingStep } from '@acaciadock/placement';
import { type JobEntry } from './JobEntry.js';

export interface QueuedStep extends WaitingStep {
  readonly entry: JobEntry;
  readonly occurrence: Occurrence;
  readonly step: StepState;
}
