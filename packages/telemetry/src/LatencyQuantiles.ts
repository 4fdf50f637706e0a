/**
 * Records latencies in HDR histograms, one for each label set, and exposes their quantiles since
 * the start of the process as a Prometheus gauge.
 */
import hdr from 'hdr-histogram-js';
import { Gauge, type Registry } from 'prom-client';

const SIGNIFICANT_DIGITS = 2;
const PERCENTILES = [50, 90, 99, 100];

export interface LatencyQuantilesOptions {
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly string[];
  readonly registry: Registry;
  /** Upper bound of the recorded range, in milliseconds. Larger values are clamped to it. */
  readonly highestMs: number;
}

type Labels = Readonly<Record<string, string>>;

interface Series {
  readonly labels: Labels;
  readonly histogram: hdr.Histogram;
}

export class LatencyQuantiles {
  private readonly series = new Map<string, Series>();

  private readonly gauge: Gauge;

  constructor(private readonly options: LatencyQuantilesOptions) {
    const { name, help, labelNames, registry } = options;
    this.gauge = new Gauge({
      name,
      help,
      labelNames: [...labelNames, 'quantile'],
      registers: [registry],
      collect: () => this.collect(),
    });
  }

  /** Records one latency, in milliseconds. */
  record(labels: Labels, latencyMs: number): void {
    const recordedMs = Math.min(this.options.highestMs, Math.max(0, Math.round(latencyMs)));
    this.seriesOf(labels).histogram.recordValue(recordedMs);
  }

  private seriesOf(labels: Labels): Series {
    const key = this.options.labelNames.map((name) => labels[name]).join('\n');
    const known = this.series.get(key);
    if (known) return known;
    const histogram = hdr.build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: this.options.highestMs,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      autoResize: true,
    });
    const created = { labels, histogram };
    this.series.set(key, created);
    return created;
  }

  private collect(): void {
    this.series.forEach(({ labels, histogram }) => {
      PERCENTILES.forEach((percentile) => {
        const quantile = String(percentile / 100);
        this.gauge.set({ ...labels, quantile }, histogram.getValueAtPercentile(percentile));
      });
    });
  }
}
