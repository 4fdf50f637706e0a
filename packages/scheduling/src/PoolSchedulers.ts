/**
 * The schedulers of the pools that this entry dispatches. The scheduler of a pool is created on
 * first use.
 */
import { type Clock, type InstanceId, type PoolId, type Random } from '@acaciadock/core';
import { type ConfigDocument, type InstanceConfig } from '@acaciadock/config';
import { type Grant } from '@acaciadock/peers';
import { FairQueue } from './FairQueue.js';
import { type TeamSlotTime } from './FleetUsage.js';
import { type SlotHolder } from './ForeignGrants.js';
import { OutlierEjection } from './OutlierEjection.js';
import { PoolScheduler } from './PoolScheduler.js';
import { type PoolView, poolViewsOf } from './PoolView.js';
import { RunTimeEstimator } from './RunTimeEstimator.js';

export class PoolSchedulers implements SlotHolder {
  private readonly schedulers = new Map<PoolId, PoolScheduler>();

  private views: ReadonlyMap<PoolId, PoolView> = new Map();

  private document: ConfigDocument | undefined;

  /** Targets that are closed to new work outside the configuration, see `ClosedTargets`. */
  private leaving: ReadonlySet<InstanceId> = new Set();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  configure(document: ConfigDocument): void {
    this.document = document;
    this.views = poolViewsOf(document);
    this.schedulers.forEach((scheduler, poolId) => {
      const view = this.views.get(poolId);
      if (view) scheduler.configure(view);
    });
  }

  /** Replaces the set of targets that are closed to new work outside the configuration. */
  setClosed(leaving: ReadonlySet<InstanceId>): void {
    this.leaving = leaving;
    this.schedulers.forEach((scheduler) => scheduler.setClosed(leaving));
  }

  poolIds(): Iterable<PoolId> {
    return this.views.keys();
  }

  /** The scheduler of a pool; undefined if the pool is not configured. */
  of(poolId: PoolId): PoolScheduler | undefined {
    const known = this.schedulers.get(poolId);
    if (known) return known;
    const view = this.views.get(poolId);
    if (!view) return undefined;
    const scheduler = new PoolScheduler(
      view,
      {
        queueOf: (estimateOf) => new FairQueue(estimateOf),
        health: new OutlierEjection(this.random),
        estimator: new RunTimeEstimator(),
      },
      this.clock,
    );
    scheduler.setClosed(this.leaving);
    this.schedulers.set(poolId, scheduler);
    return scheduler;
  }

  /** Charges teams for slot time that they received in other pools. */
  charge(charges: ReadonlyMap<PoolId, readonly TeamSlotTime[]>): void {
    charges.forEach((teams, poolId) => {
      const pool = this.of(poolId);
      teams.forEach(({ teamId, slotMs }) => pool?.chargeElsewhere(teamId, slotMs));
    });
  }

  take(grant: Grant): void {
    this.ofInstance(grant.targetId)?.targets.take(grant.targetId);
  }

  release(grant: Grant, heldMs: number): void {
    const pool = this.ofInstance(grant.targetId);
    pool?.targets.release(grant.targetId);
    pool?.chargeElsewhere(grant.teamId, heldMs);
  }

  /** Targets of a pool that are closed to new work, whether or not it has a scheduler here. */
  closedOf(poolId: PoolId): readonly InstanceId[] {
    const instances = this.views.get(poolId)?.instances ?? new Map<InstanceId, InstanceConfig>();
    return [...instances]
      .filter(([id, { intent }]) => intent !== 'serving' || this.leaving.has(id))
      .map(([id]) => id);
  }

  all(): Iterable<[PoolId, PoolScheduler]> {
    return this.schedulers;
  }

  private ofInstance(instanceId: InstanceId): PoolScheduler | undefined {
    const poolId = this.document?.instances[instanceId]?.poolId;
    return poolId === undefined ? undefined : this.of(poolId);
  }
}
