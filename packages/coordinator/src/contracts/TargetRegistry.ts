/** The list of targets that live now, as they report themselves. */
import { type LogFailure } from '@acaciadock/journal';
import { type Result } from 'neverthrow';
import { type Capacity } from './Capacity.js';

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
