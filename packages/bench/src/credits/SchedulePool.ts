/** Runs schedules, that is simulations of random fault plans, on worker threads; merges findings. */
import { availableParallelism } from 'node:os';
import { Worker } from 'node:worker_threads';

const MAX_WORKERS = 6;

export interface ScheduleRange {
  readonly firstSeed: number;
  readonly count: number;
}

export interface ScheduleFindings {
  readonly schedules: number;
  /** Requests that the simulated entries started. */
  readonly starts: number;
  readonly violations: number;
  /** Seeds of schedules that had a violation or never recovered. */
  readonly badSeeds: readonly number[];
  /**
   * Longest time until all credits were usable again in the schedules without a mass loss, in which
   * a majority of the roster remained to vote on the evictions.
   */
  readonly slowestRecoveryMs: number;
  /** Schedules in which the credits did not all become usable again. */
  readonly neverRecovered: number;
  /** Schedules that lost most of the roster at once. */
  readonly massLosses: number;
  /** Longest time until all credits were usable again in the schedules of `massLosses`. */
  readonly slowestMassLossRecoveryMs: number;
}

function merge(a: ScheduleFindings, b: ScheduleFindings): ScheduleFindings {
  return {
    schedules: a.schedules + b.schedules,
    starts: a.starts + b.starts,
    violations: a.violations + b.violations,
    badSeeds: [...a.badSeeds, ...b.badSeeds],
    slowestRecoveryMs: Math.max(a.slowestRecoveryMs, b.slowestRecoveryMs),
    neverRecovered: a.neverRecovered + b.neverRecovered,
    massLosses: a.massLosses + b.massLosses,
    slowestMassLossRecoveryMs: Math.max(a.slowestMassLossRecoveryMs, b.slowestMassLossRecoveryMs),
  };
}

function runRange(range: ScheduleRange): Promise<ScheduleFindings> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./scheduleWorker.js', import.meta.url), {
      workerData: range,
    });
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}

/** Runs `count` fault plans with consecutive seeds. */
export async function runSchedules(firstSeed: number, count: number): Promise<ScheduleFindings> {
  const workers = Math.max(1, Math.min(MAX_WORKERS, availableParallelism() - 2));
  const part = Math.ceil(count / workers);
  const ranges = Array.from({ length: workers }, (_, index) => ({
    firstSeed: firstSeed + index * part,
    count: Math.max(0, Math.min(part, count - index * part)),
  }));
  const findings = await Promise.all(ranges.map((range) => runRange(range)));
  return findings.reduce(merge);
}
