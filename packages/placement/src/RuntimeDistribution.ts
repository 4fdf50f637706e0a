/**
 * The runtimes of a queue's recent tasks as a histogram of bounded size. Old runtimes are dropped
 * by generations: every value is recorded in two histograms, of which the older one is read, and
 * once the newer one holds `GENERATION_RUNS` values it replaces the older one.
 */
import hdr from 'hdr-histogram-js';

/** Half of the window that is read at most: long enough for a 99th percentile. */
const GENERATION_RUNS = 256;

/** The cached figures are computed anew when an eighth of the values, or 32, are new. */
const REFRESH_SHARE = 1 / 8;
const MAX_REFRESH_RUNS = 32;

/** Number of equal parts of the distribution that the remaining time is computed from. */
const PARTS = 50;

const MAX_RUNTIME_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;

interface Figures {
  readonly meanMs: number;
  readonly medianMs: number;
  /** The quantile in the middle of each part. */
  readonly partsMs: readonly number[];
}

export class RuntimeDistribution {
  private older = RuntimeDistribution.createHistogram();

  private newer = RuntimeDistribution.createHistogram();

  private figures: Figures = { meanMs: 0, medianMs: 0, partsMs: [] };

  /** Values recorded since the figures were computed. */
  private newRuns = 0;

  /** Number of runtimes in the window. */
  get count(): number {
    return this.older.totalCount;
  }

  get meanMs(): number {
    return this.current.meanMs;
  }

  get medianMs(): number {
    return this.current.medianMs;
  }

  record(runtimeMs: number): void {
    const valueMs = Math.min(MAX_RUNTIME_MS, Math.max(1, Math.round(runtimeMs)));
    this.older.recordValue(valueMs);
    this.newer.recordValue(valueMs);
    this.newRuns += 1;
    if (this.newer.totalCount < GENERATION_RUNS) return;
    this.older = this.newer;
    this.newer = RuntimeDistribution.createHistogram();
  }

  /** Runtime that the fraction `quantile` of the runs does not exceed; 0 without any run. */
  quantileMs(quantile: number): number {
    return this.older.getValueAtPercentile(quantile * 100);
  }

  /**
   * Expected remaining time of a run that has taken `ageMs`: the mean of what longer runs took beyond
   * that. Undefined if hardly any run took longer.
   */
  remainingMs(ageMs: number): number | undefined {
    const longer = this.current.partsMs.filter((partMs) => partMs > ageMs);
    if (longer.length === 0) return undefined;
    return longer.reduce((sum, partMs) => sum + partMs - ageMs, 0) / longer.length;
  }

  private get current(): Figures {
    if (this.newRuns >= Math.min(MAX_REFRESH_RUNS, this.count * REFRESH_SHARE)) {
      this.newRuns = 0;
      const partsMs = Array.from({ length: PARTS }, (_, part) =>
        this.quantileMs((part + 0.5) / PARTS),
      );
      this.figures = { meanMs: this.older.mean, medianMs: this.quantileMs(0.5), partsMs };
    }
    return this.figures;
  }

  private static createHistogram(): hdr.Histogram {
    return hdr.build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_RUNTIME_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
  }
}
