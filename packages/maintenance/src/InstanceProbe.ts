/** Interface of the health check of one instance. */
import { type InstanceId } from '@acaciadock/core';

export abstract class InstanceProbe {
  /** Whether the instance reports that it can serve. The promise never rejects. */
  abstract isHealthy(instanceId: InstanceId, address: string): Promise<boolean>;
}
