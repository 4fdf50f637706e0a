/**
 * The runtimes of a queue's recent tasks as a histogram of bounded size. Old runtimes are dropped
 * by generations: every value is recorded in two histograms, of which the older one is read, and
 * once the newer one holds `GENERATION_RUNS` values it replaces the older one.
 */
import hdr from 'hdr-histogram-js';

/** Half of the window that is read at most: long enough for a 99th percentile. */
const GENERATION_RUNS = 256;

/** Number of new values after which the cached median is computed anew. */
const MEDIAN_REFRESH_RUNS = 8;

const MAX_RUNTIME_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;

export class RuntimeDistribution {
  private older = RuntimeDistribution.createHistogram();

  private newer = RuntimeDistribution.createHistogram();

  private cachedMedianMs = 0;

  private medianAgeRuns = MEDIAN_REFRESH_RUNS;

  /** Number of runtimes in the window. */
  get count(): number {
    return this.older.totalCount;
  }

  get medianMs(): number {
    if (this.medianAgeRuns >= MEDIAN_REFRESH_RUNS) {
      this.cachedMedianMs = this.quantileMs(0.5);
      this.medianAgeRuns = 0;
    }
    return this.cachedMedianMs;
  }

  record(runtimeMs: number): void {
    const valueMs = Math.min(MAX_RUNTIME_MS, Math.max(1, Math.round(runtimeMs)));
    this.older.recordValue(valueMs);
    this.newer.recordValue(valueMs);
    this.medianAgeRuns += 1;
    if (this.newer.totalCount < GENERATION_RUNS) return;
    this.older = this.newer;
    this.newer = RuntimeDistribution.createHistogram();
  }

  /** Runtime that the fraction `quantile` of the runs does not exceed; 0 without any run. */
  quantileMs(quantile: number): number {
    return this.older.getValueAtPercentile(quantile * 100);
  }

  private static createHistogram(): hdr.Histogram {
    return hdr.build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_RUNTIME_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
  }
}
