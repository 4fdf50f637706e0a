/** Cycles health checks through all serving instances, with a limited number in flight. */
import { type InstanceId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { type FleetHealth } from './FleetHealth.js';
import { type InstanceProbe } from './InstanceProbe.js';

const MAX_CHECKS_AT_ONCE = 20;

export class HealthSweep {
  private queue: InstanceId[] = [];

  private readonly inFlight = new Set<InstanceId>();

  constructor(
    private readonly probe: InstanceProbe,
    private readonly health: FleetHealth,
  ) {}

  /** Starts the next checks; called on every tick of the controller. */
  tick(document: ConfigDocument): void {
    if (this.queue.length === 0) this.queue = Object.keys(document.instances);
    while (this.queue.length > 0 && this.inFlight.size < MAX_CHECKS_AT_ONCE) {
      const instanceId = this.queue.shift() ?? '';
      const instance = document.instances[instanceId];
      if (instance?.intent === 'serving' && !this.inFlight.has(instanceId)) {
        void this.check(instanceId, instance.address);
      }
    }
  }

  private async check(instanceId: InstanceId, address: string): Promise<void> {
    this.inFlight.add(instanceId);
    this.health.checked(instanceId, await this.probe.isHealthy(instanceId, address));
    this.inFlight.delete(instanceId);
  }
}
