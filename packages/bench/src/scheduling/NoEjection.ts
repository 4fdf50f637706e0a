/** Baseline: no target is ever ejected, so the least loaded one gets the work whatever it does. */
import { HealthPolicy } from '@acaciadock/scheduling';

export class NoEjection extends HealthPolicy {
  override configure(): void {
    // Nothing to keep.
  }

  override record(): undefined {
    return undefined;
  }

  override dueForTrial(): readonly string[] {
    return [];
  }

  override abandonTrial(): void {
    // There are no trials.
  }

  override isEjected(): boolean {
    return false;
  }

  override get ejectedCount(): number {
    return 0;
  }
}
