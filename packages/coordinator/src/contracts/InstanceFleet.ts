/** The fleet's instances, their moves between pools and their upkeep. */
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
  /** The target that runs on it; empty if none does. */
  readonly targetId: string;
}

/** Who orders, and with which fencing token. */
export interface Duty {
  readonly holderId: string;
  readonly fencingToken: number;
}

export interface FleetFailure {
  readonly kind:
    | 'fenced'
    /** The instance is not up, or is leaving. */
    | 'busy'
    | 'not-in-wave'
    | 'invalid'
    /** Nothing was done; it may be tried again. */
    | 'rejected'
    | 'unknown-outcome';
  readonly detail: string;
}

export abstract class InstanceFleet {
  abstract list(): Promise<Result<readonly FleetInstance[], FleetFailure>>;

  /** Ends everything on the instance and puts it into another pool. */
  abstract move(
    instanceId: string,
    poolId: string,
    duty: Duty,
  ): Promise<Result<void, FleetFailure>>;

  /** Ends everything on the instance and takes it down for its upkeep. */
  abstract upkeep(
    instanceId: string,
    waveId: number,
    duty: Duty,
  ): Promise<Result<void, FleetFailure>>;
}
