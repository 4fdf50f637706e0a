/** Interface to the counts of the runs that this entry's gateway has open at targets. */
import { type InstanceId, type ServiceId } from '@acaciadock/core';

export abstract class RunCounter {
  /** Runs started at the instance whose end this gateway has not learned yet. */
  abstract openRuns(instanceId: InstanceId): number;

  /** Number of open runs by service. */
  abstract runningByService(): ReadonlyMap<ServiceId, number>;
}
