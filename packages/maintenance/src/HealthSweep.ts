/** Checks the health of the whole fleet in turn, a bounded number at a time. */
import { type InstanceId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { type FleetHealth } from './FleetHealth.js';
import { type InstanceProbe } from './InstanceProbe.js';

const MAX_CHECKS_AT_ONCE = 20;

export class HealthSweep {
  private queue: InstanceId[] = [];

  private readonly underWay = new Set<InstanceId>();

  constructor(
    private readonly probe: InstanceProbe,
    private readonly health: FleetHealth,
  ) {}

  /** Begins the next checks; called with each tick. */
  tick(document: ConfigDocument): void {
    if (this.queue.length === 0) this.queue = Object.keys(document.instances);
    while (this.queue.length > 0 && this.underWay.size < MAX_CHECKS_AT_ONCE) {
      const instanceId = this.queue.shift() ?? '';
      const instance = document.instances[instanceId];
      if (instance?.intent === 'serving' && !this.underWay.has(instanceId)) {
        void this.check(instanceId, instance.address);
      }
    }
  }

  private async check(instanceId: InstanceId, address: string): Promise<void> {
    this.underWay.add(instanceId);
    this.health.checked(instanceId, await this.probe.isHealthy(instanceId, address));
    this.underWay.delete(instanceId);
  }
}
