/** Upkeep waves that operators publish, and the contract for reporting their progress. */
import { type LogFailure } from '@acaciadock/journal';
import { type Result } from 'neverthrow';

/** A set of instances that an operator has scheduled for upkeep. */
export interface UpkeepWave {
  readonly waveId: number;
  readonly instanceIds: readonly string[];
  /** Monotonic time by which the upkeep of all instances should be done. */
  readonly dueMs: number;
  /** Maximum number of instances of the wave that may be down at the same time. */
  readonly mostAtOnce: number;
}

export abstract class WaveReports {
  abstract publish(
    waveId: number,
    state: 'running' | 'completed',
  ): Promise<Result<void, LogFailure>>;
}
