/** Baseline health policy that never ejects a target, however many of its requests fail. */
import { HealthPolicy } from '@acaciadock/scheduling';

export class NoEjection extends HealthPolicy {
  override configure(): void {
    // There are no settings.
  }

  override record(): undefined {
    return undefined;
  }

  override dueForTrial(): readonly string[] {
    return [];
  }

  override abandonTrial(): void {
    // Without ejection there are no trials.
  }

  override isEjected(): boolean {
    return false;
  }

  override get ejectedCount(): number {
    return 0;
  }
}
