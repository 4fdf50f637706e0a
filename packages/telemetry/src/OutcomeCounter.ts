/** Counts the requests of each service by whether they were answered, since this entry started. */
import { OutcomeRecorder, type RequestOutcome, type ServiceId } from '@acaciadock/core';

export interface OutcomeCounts {
  answered: number;
  /** Requests that were not answered for any reason, including failed and cancelled ones. */
  refused: number;
}

export class OutcomeCounter extends OutcomeRecorder {
  private readonly counts = new Map<ServiceId, OutcomeCounts>();

  override record(outcome: RequestOutcome): void {
    const counts = this.countsOf(outcome.serviceId);
    if (outcome.ok) counts.answered += 1;
    else counts.refused += 1;
    this.counts.set(outcome.serviceId, counts);
  }

  countsOf(serviceId: ServiceId): OutcomeCounts {
    return this.counts.get(serviceId) ?? { answered: 0, refused: 0 };
  }
}
