/** Contract of the registry in which live targets list themselves. */
import { type LogFailure } from '@acaciadock/journal';
import { type Result } from 'neverthrow';
import { type Capacity } from './Capacity.js';

/** Registration of one target (not of an entry), as reported by the target itself. */
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
  /** Minimum time until a draining target shuts down; undefined if it does not report one. */
  readonly remainingMs: number | undefined;
  /** Start of the target's current lifetime, Unix milliseconds; 0 if it does not report one. */
  readonly bornMs: number;
}

export abstract class TargetRegistry {
  /** All targets that are currently registered. */
  abstract list(): Promise<Result<readonly RegistryEntry[], LogFailure>>;
}
