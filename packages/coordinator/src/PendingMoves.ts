/**
 * Moves that wait until the instance runs nothing any more. Such an instance is closed to new tasks; it
 * takes tasks again if its destination pool needs no more instances or if it must not move.
 */
import { type Logger } from '@acaciadock/core';
import { type FleetInstance } from './contracts/index.js';
import { type FleetOrders } from './FleetOrders.js';
import { type FleetTarget } from './FleetTarget.js';
import { type PoolState } from './PoolSizesLog.js';
import { type TargetTable } from './TargetTable.js';
import { type ZoneEvacuation } from './ZoneEvacuation.js';

export interface PendingMovesDeps {
  readonly orders: FleetOrders;
  readonly targets: TargetTable;
  readonly evacuation: ZoneEvacuation;
  readonly logger: Logger;
  /** Whether an instance is closed to new tasks for upkeep. */
  readonly isReservedForUpkeep: (instanceId: string) => boolean;
}

export class PendingMoves {
  /** The destination pool of each instance. */
  private readonly destinations = new Map<string, string>();

  constructor(private readonly deps: PendingMovesDeps) {}

  has(instanceId: string): boolean {
    return this.destinations.has(instanceId);
  }

  /** The destination pool of the instance; undefined if no move of it is pending. */
  poolOf(instanceId: string): string | undefined {
    return this.destinations.get(instanceId);
  }

  /** Closes an instance that runs tasks to new ones, so that it can move. */
  add(
    { instanceId, poolId: fromPoolId }: FleetInstance,
    target: FleetTarget,
    poolId: string,
  ): void {
    Object.assign(target, { isReserved: true });
    this.destinations.set(instanceId, poolId);
    this.deps.logger.info('instance-reclaimed', {
      instanceId,
      fromPoolId,
      poolId,
      runs: target.runs.size,
    });
  }

  /**
   * Moves instances that are empty now, and reopens those that their destination pool has too many of.
   * Updates the counts of the pools, so that what follows in the round does not move these again.
   */
  complete(pools: readonly PoolState[]): void {
    const { orders, targets } = this.deps;
    this.destinations.forEach((poolId, instanceId) => {
      const instance = this.find(instanceId);
      const target = targets.get(instance?.targetId ?? '');
      const recipient = pools.find(({ size }) => size.poolId === poolId);
      if (!instance || !target) return;
      if (recipient && recipient.part < recipient.count) {
        this.cancel(instance);
        const donor = pools.find(({ size }) => size.poolId === instance.poolId);
        Object.assign(recipient, { count: recipient.count - 1 });
        if (donor) Object.assign(donor, { count: donor.count + 1 });
        return;
      }
      if (target.runs.size > 0 || orders.allowance === 0) return;
      this.destinations.delete(instanceId);
      void orders.move(instance, poolId);
    });
  }

  /** Drops moves of instances that are not up, have an order or must not move any more. */
  dropInvalid(): void {
    const { orders, evacuation, isReservedForUpkeep } = this.deps;
    this.destinations.forEach((_, instanceId) => {
      const instance = this.find(instanceId);
      const isUnavailable = orders.hasOrder(instanceId) || isReservedForUpkeep(instanceId);
      if (instance?.state !== 'up' || isUnavailable) this.destinations.delete(instanceId);
      else if (evacuation.isEvacuated(instance.zoneId)) this.cancel(instance);
    });
  }

  private find(instanceId: string): FleetInstance | undefined {
    return this.deps.orders.instances.find((one) => one.instanceId === instanceId);
  }

  /** Drops a move, so that the instance takes tasks again. */
  private cancel({ instanceId, targetId }: FleetInstance): void {
    this.destinations.delete(instanceId);
    const target = this.deps.targets.get(targetId);
    if (target) target.isReserved = false;
  }
}
