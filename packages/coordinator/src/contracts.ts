/** What the coordinator needs from outside: the list of targets, the fleet of instances, advice. */
import { type LogFailure } from '@acaciadock/journal';
import { type Result } from 'neverthrow';

export interface Capacity {
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly gpuCount: number;
}

/** A target as it reports itself. */
export interface RegistryEntry {
  readonly targetId: string;
  readonly poolId: string;
  /** `host:port`. */
  readonly address: string;
  readonly zoneId: string;
  readonly rackId: string;
  readonly labels: readonly string[];
  readonly capacity: Capacity;
  readonly state: 'ready' | 'draining';
  /** Least time until a draining target leaves; undefined if it does not tell. */
  readonly remainingMs: number | undefined;
  /** Start of this lifetime, Unix milliseconds; 0 if it does not tell. */
  readonly bornMs: number;
}

export abstract class TargetRegistry {
  /** All targets that are listed now. */
  abstract list(): Promise<Result<readonly RegistryEntry[], LogFailure>>;
}

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

/** Instances that are due for upkeep. */
export interface UpkeepWave {
  readonly waveId: number;
  readonly instanceIds: readonly string[];
  /** Monotonic time by which all should be done. */
  readonly dueMs: number;
  /** Most instances of the wave that may be down at once. */
  readonly mostAtOnce: number;
}

export abstract class WaveReports {
  abstract publish(waveId: number, state: 'running' | 'completed'): Promise<Result<void, LogFailure>>;
}

export interface AdviceTicket {
  readonly targetId: string;
  readonly ticket: string;
}

export interface AdviceAnswer {
  readonly tickets: readonly AdviceTicket[];
  readonly validityMs: number;
}

export interface AdviceFailure {
  readonly kind: 'advice-unavailable';
  readonly detail: string;
}

/** Knows which targets may run a step. One call at a time. */
export abstract class AdviceService {
  abstract advise(
    stepId: string,
    targetIds: readonly string[],
  ): Promise<Result<AdviceAnswer, AdviceFailure>>;
}
