/**
 * The interface between maintenance and scheduling: how much work is open on an instance, and which
 * instances maintenance has closed to new work.
 */
import { type InstanceId } from '../ids.js';

export abstract class WorkView {
  /**
   * Number of open grants on an instance, summed over all homes and gateways. Homes report only
   * draining instances, which are leaving and get no new grants. Infinity if no home has reported the
   * instance recently: a missing report must not be taken for an idle instance.
   */
  abstract openGrants(instanceId: InstanceId): number;

  /** Instances that a home recently reported as draining: they get no new grants. */
  abstract draining(): ReadonlySet<InstanceId>;

  /**
   * Replaces the set of instances that the maintenance controller at this entry has closed to new
   * work. Every home receives the set within a second, and reopens an instance that is no longer in
   * it.
   */
  abstract setClosedToNewWork(instanceIds: ReadonlySet<InstanceId>): void;
}
