/**
 * What maintenance needs to know of the work on an instance, and the one thing that it tells the
 * schedulers: which instances take no new work.
 */
import { type InstanceId } from '../ids.js';

export abstract class WorkView {
  /**
   * Grants that are open on an instance over all homes and gateways. Infinite while no home has
   * told lately, which never means that the instance is idle. Homes tell of leaving instances only.
   */
  abstract openGrants(instanceId: InstanceId): number;

  /** Instances of which a home said lately that they leave and get no new grants. */
  abstract draining(): ReadonlySet<InstanceId>;

  /**
   * Replaces the instances that the maintenance controller at this entry has closed to new work.
   * Every home learns of them within a second, and opens them again once they are no longer named.
   */
  abstract setClosedToNewWork(instanceIds: ReadonlySet<InstanceId>): void;
}
