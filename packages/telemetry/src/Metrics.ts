/**
 * Request metrics of one entry, exposed in the Prometheus text format: the number of requests by
 * how they ended, and quantiles of their latency.
 */
import { OutcomeRecorder, type RequestOutcome } from '@acaciadock/core';
import { Counter, Gauge, Registry } from 'prom-client';
import { LatencyQuantiles } from './LatencyQuantiles.js';

const HIGHEST_LATENCY_MS = 3_600_000;

export class Metrics extends OutcomeRecorder {
  private readonly registry = new Registry();

  private readonly requests = new Counter({
    name: 'acaciadock_requests_total',
    help: 'Requests that ended, by service, urgency and how they ended.',
    labelNames: ['service', 'urgency', 'end', 'executed'],
    registers: [this.registry],
  });

  private readonly latencies = new LatencyQuantiles({
    name: 'acaciadock_request_latency_ms',
    help: 'Quantiles of the time in the queue and in all, in milliseconds, since the start.',
    labelNames: ['service', 'part'],
    registry: this.registry,
    highestMs: HIGHEST_LATENCY_MS,
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
    const service = outcome.serviceId;
    this.latencies.record({ service, part: 'queued' }, outcome.queuedMs);
    this.latencies.record({ service, part: 'total' }, outcome.totalMs);
  }

  /** Adds a gauge whose value is read each time the metrics are scraped. */
  addGauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  /** Renders all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }
}
