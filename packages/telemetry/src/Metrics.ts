/**
 * Metrics of one entry as Prometheus text, by the `prom-client` library. Latencies are kept in
 * HDR histograms and exposed as quantiles.
 */
import { OutcomeRecorder, type RequestOutcome } from '@acaciadock/core';
import hdr from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

const HIGHEST_LATENCY_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [50, 90, 99, 100];

type LatencyPart = 'queued' | 'total';

export class Metrics extends OutcomeRecorder {
  private readonly registry = new Registry();

  private readonly histograms = new Map<string, hdr.Histogram>();

  private readonly requests = new Counter({
    name: 'acaciadock_requests_total',
    help: 'Requests that ended, by service, urgency and how they ended.',
    labelNames: ['service', 'urgency', 'end', 'executed'],
    registers: [this.registry],
  });

  private readonly latencies: Gauge = new Gauge({
    name: 'acaciadock_request_latency_ms',
    help: 'Quantiles of the time in the queue and in all, in milliseconds, since the start.',
    labelNames: ['service', 'part', 'quantile'],
    registers: [this.registry],
    collect: () => this.collectLatencies(),
  });

  private readonly memory: Gauge = new Gauge({
    name: 'acaciadock_resident_bytes',
    help: 'Resident memory of the process.',
    registers: [this.registry],
    collect: () => this.memory.set(process.memoryUsage.rss()),
  });

  get contentType(): string {
    return this.registry.contentType;
  }

  override record(outcome: RequestOutcome): void {
    this.requests.inc({
      service: outcome.serviceId,
      urgency: outcome.urgency,
      end: outcome.ok ? 'answered' : (outcome.problemType ?? 'unknown'),
      executed: outcome.executed,
    });
    this.histogramOf(outcome.serviceId, 'queued').recordValue(Math.round(outcome.queuedMs));
    this.histogramOf(outcome.serviceId, 'total').recordValue(Math.round(outcome.totalMs));
  }

  /** Adds a gauge that is read when the metrics are asked for. */
  addGauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  /** All metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  private histogramOf(serviceId: string, part: LatencyPart): hdr.Histogram {
    const name = `${serviceId}\n${part}`;
    const known = this.histograms.get(name);
    if (known) return known;
    const created = hdr.build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_LATENCY_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      autoResize: true,
    });
    this.histograms.set(name, created);
    return created;
  }

  private collectLatencies(): void {
    this.histograms.forEach((histogram, name) => {
      const [service = '', part = ''] = name.split('\n');
      QUANTILES.forEach((percentile) => {
        const labels = { service, part, quantile: String(percentile / 100) };
        this.latencies.set(labels, histogram.getValueAtPercentile(percentile));
      });
    });
  }
}
