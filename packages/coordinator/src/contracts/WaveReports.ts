/** Waves of upkeep that operators publish, and how far each is. */
import { type LogFailure } from '@acaciadock/journal';
import { type Result } from 'neverthrow';

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
  abstract publish(
    waveId: number,
    state: 'running' | 'completed',
  ): Promise<Result<void, LogFailure>>;
}
