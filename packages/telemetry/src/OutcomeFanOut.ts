/** Forwards every request outcome to several recorders. */
import { OutcomeRecorder, type RequestOutcome } from '@acaciadock/core';

export class OutcomeFanOut extends OutcomeRecorder {
  constructor(private readonly recorders: readonly OutcomeRecorder[]) {
    super();
  }

  override record(outcome: RequestOutcome): void {
    this.recorders.forEach((recorder) => recorder.record(outcome));
  }
}
