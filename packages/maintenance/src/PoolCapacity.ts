/** Counts the serving instances and slots of one pool by rack. */
import { type RackId } from '@acaciadock/core';

interface RackCapacity {
  instances: number;
  slots: number;
}

export interface RemainingCapacity {
  readonly instances: number;
  readonly slots: number;
}

export class PoolCapacity {
  private readonly racks = new Map<RackId, RackCapacity>();

  private instances = 0;

  private slots = 0;

  add(rackId: RackId, slots: number): void {
    this.change(rackId, 1, slots);
  }

  remove(rackId: RackId, slots: number): void {
    this.change(rackId, -1, -slots);
  }

  /** Capacity that serves now. */
  now(): RemainingCapacity {
    return { instances: this.instances, slots: this.slots };
  }

  /** Capacity that would remain after the worst possible loss of one rack. */
  afterRackLoss(): RemainingCapacity {
    let lostInstances = 0;
    let lostSlots = 0;
    this.racks.forEach((rack) => {
      lostInstances = Math.max(lostInstances, rack.instances);
      lostSlots = Math.max(lostSlots, rack.slots);
    });
    return { instances: this.instances - lostInstances, slots: this.slots - lostSlots };
  }

  /** Slots that would remain without the `count` largest racks. */
  slotsWithoutLargestRacks(count: number): number {
    const bySlots = [...this.racks.values()].map(({ slots }) => slots).sort((a, b) => b - a);
    return this.slots - bySlots.slice(0, count).reduce((sum, slots) => sum + slots, 0);
  }

  private change(rackId: RackId, instances: number, slots: number): void {
    const rack = this.racks.get(rackId) ?? { instances: 0, slots: 0 };
    rack.instances += instances;
    rack.slots += slots;
    this.racks.set(rackId, rack);
    this.instances += instances;
    this.slots += slots;
  }
}
