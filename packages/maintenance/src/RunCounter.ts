/** What this entry's gateway has running at targets. */
import { type InstanceId, type ServiceId } from '@acaciadock/core';

export abstract class RunCounter {
  /** Runs that were begun and whose end this gateway does not know yet. */
  abstract openRuns(instanceId: InstanceId): number;

  abstract runningByService(): ReadonlyMap<ServiceId, number>;
}
