/**
 * Metrics made from the events that are logged: how often each happened with which outcome, and
 * how long what it tells of took. Prometheus text by `prom-client`, latencies by HDR histograms.
 */
import { type LogFields } from '@acaciadock/core';
import hdr from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';
import { type EventSink } from './BoundedLogger.js';

const HIGHEST_LATENCY_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [50, 90, 99, 100];

/** Fields that tell an outcome, in the order in which they are looked for. */
const OUTCOME_FIELDS = ['outcome', 'status', 'end', 'state', 'verdict', 'reason'];

/** Fields that tell how long something took, in milliseconds. */
const LATENCY_FIELDS = ['tookMs', 'appendMs', 'runtimeMs'];

export class EventMetrics implements EventSink {
  private readonly registry = new Registry();

  private readonly histograms = new Map<string, hdr.Histogram>();

  private readonly events = new Counter({
    name: 'acaciadock_events_total',
    help: 'Events by name and outcome.',
    labelNames: ['event', 'outcome'],
    registers: [this.registry],
  });

  private readonly latencies: Gauge = new Gauge({
    name: 'acaciadock_event_latency_ms',
    help: 'Quantiles of what events took, in milliseconds, since the start.',
    labelNames: ['event', 'quantile'],
    registers: [this.registry],
    collect: () => this.collectLatencies(),
  });

  private readonly memory: Gauge = new Gauge({
    name: 'acaciadock_entry_resident_bytes',
    help: 'Resident memory of the process.',
    registers: [this.registry],
    collect: () => this.memory.set(process.memoryUsage.rss()),
  });

  get contentType(): string {
    return this.registry.contentType;
  }

  note(event: string, fields: LogFields): void {
    const field = OUTCOME_FIELDS.find((name) => fields[name] !== undefined);
    this.events.inc({ event, outcome: field === undefined ? '' : String(fields[field]) });
    const latency = LATENCY_FIELDS.find((name) => typeof fields[name] === 'number');
    if (latency === undefined) return;
    this.histogramOf(event).recordValue(Math.max(0, Math.round(fields[latency] as number)));
  }

  /** All metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  private histogramOf(event: string): hdr.Histogram {
    const known = this.histograms.get(event);
    if (known) return known;
    const created = hdr.build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_LATENCY_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      autoResize: true,
    });
    this.histograms.set(event, created);
    return created;
  }

  private collectLatencies(): void {
    this.histograms.forEach((histogram, event) => {
      QUANTILES.forEach((percentile) => {
        const labels = { event, quantile: String(percentile / 100) };
        this.latencies.set(labels, histogram.getValueAtPercentile(percentile));
      });
    });
  }
}
