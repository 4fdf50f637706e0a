/** A health check of one instance. */
import { type InstanceId } from '@acaciadock/core';

export abstract class InstanceProbe {
  /** Whether the instance says that it is fit to serve. Never rejects. */
  abstract isHealthy(instanceId: InstanceId, address: string): Promise<boolean>;
}
