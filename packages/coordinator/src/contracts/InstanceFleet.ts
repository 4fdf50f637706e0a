/** Contract of the platform's fleet API: list instances, move them between pools, order upkeep. */
import { type Result } from 'neverthrow';
import { type Capacity } from './Capacity.js';

export type InstanceState = 'up' | 'moving' | 'upkeep' | 'down';

export interface FleetInstance {
  readonly instanceId: string;
  readonly poolId: string;
  readonly state: InstanceState;
  readonly zoneId: string;
  readonly rackId: string;
  readonly labels: readonly string[];
  readonly capacity: Capacity;
  /** Id of the target that runs on the instance; empty if there is none. */
  readonly targetId: string;
}

/**
 * The duty is the right to send orders to instances, held by the owner of the journal. Each order
 * carries the holder's entry id (header `x-duty-holder` of the platform) and the fencing token by
 * which the platform rejects orders of a previous holder.
 */
export interface Duty {
  readonly holderId: string;
  readonly fencingToken: number;
}

export interface FleetFailure {
  readonly kind:
    | 'fenced'
    /** The instance is not up, or is shutting down. */
    | 'busy'
    | 'not-in-wave'
    | 'invalid'
    /** The order had no effect and may be retried. */
    | 'rejected'
    | 'unknown-outcome';
  readonly detail: string;
}

export abstract class InstanceFleet {
  abstract list(): Promise<Result<readonly FleetInstance[], FleetFailure>>;

  /** Terminates everything on the instance and reassigns it to another pool. */
  abstract move(
    instanceId: string,
    poolId: string,
    duty: Duty,
  ): Promise<Result<void, FleetFailure>>;

  /** Terminates everything on the instance and takes it down for upkeep. */
  abstract upkeep(
    instanceId: string,
    waveId: number,
    duty: Duty,
  ): Promise<Result<void, FleetFailure>>;
}
