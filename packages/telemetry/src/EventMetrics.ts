/**
 * Metrics derived from logged events: the number of events by name and outcome, and quantiles of
 * the durations that they carry. Exposed in the Prometheus text format.
 */
import { type LogFields, type WorkTotal } from '@acaciadock/core';
import { Counter, Gauge, Registry } from 'prom-client';
import { type EventSink } from './BoundedLogger.js';
import { LatencyQuantiles } from './LatencyQuantiles.js';

const HIGHEST_LATENCY_MS = 600_000;

/** Fields that may hold an event's outcome, in order of precedence. */
const OUTCOME_FIELDS = ['outcome', 'status', 'end', 'state', 'verdict', 'reason'];

/** Fields that may hold a duration in milliseconds, in order of precedence. */
const LATENCY_FIELDS = ['tookMs', 'appendMs', 'runtimeMs', 'predictedWaitMs'];

export class EventMetrics implements EventSink {
  private readonly registry = new Registry();

  /** Numbers of events by name, then by outcome: a busy entry counts thousands in a second. */
  private readonly counts = new Map<string, Map<string, number>>();

  private readonly events: Counter = new Counter({
    name: 'acaciadock_events_total',
    help: 'Events by name and outcome.',
    labelNames: ['event', 'outcome'],
    registers: [this.registry],
    collect: () => this.collectEvents(),
  });

  private readonly latencies = new LatencyQuantiles({
    name: 'acaciadock_event_latency_ms',
    help: 'Quantiles of what events took, in milliseconds, since the start.',
    labelNames: ['event'],
    registry: this.registry,
    highestMs: HIGHEST_LATENCY_MS,
  });

  private readonly evacuatedZones = new Gauge({
    name: 'acaciadock_evacuated_zones',
    help: 'Zones under evacuation; 0 at entries that do not own the journal.',
    registers: [this.registry],
  });

  private readonly evacuationRunsLeft = new Gauge({
    name: 'acaciadock_evacuation_runs_left',
    help: 'Runs left in the zones under evacuation.',
    registers: [this.registry],
  });

  private readonly ownerBusyShare = new Gauge({
    name: 'acaciadock_owner_busy_share',
    help: 'Share of the last second in which the event loop of the owner was busy.',
    registers: [this.registry],
  });

  private readonly ownerTimerDelay = new Gauge({
    name: 'acaciadock_owner_timer_delay_ms',
    help: 'Longest delay of a timer of the owner in the last second.',
    registers: [this.registry],
  });

  private readonly ownerWork = new Counter({
    name: 'acaciadock_owner_work_ms_total',
    help: 'Time that each part of the work of the owner has taken, in milliseconds.',
    labelNames: ['part'],
    registers: [this.registry],
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
    this.count(event, field === undefined ? '' : String(fields[field]));
    const latency = LATENCY_FIELDS.find((name) => typeof fields[name] === 'number');
    if (latency !== undefined) this.latencies.record({ event }, fields[latency] as number);
    if (event === 'zone-evacuation-progress') this.recordEvacuations(fields);
    if (event === 'owner-load') this.recordOwnerLoad(fields);
  }

  private count(event: string, outcome: string): void {
    const outcomes = this.counts.get(event) ?? new Map<string, number>();
    this.counts.set(event, outcomes);
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  }

  private collectEvents(): void {
    this.events.reset();
    this.counts.forEach((outcomes, event) =>
      outcomes.forEach((count, outcome) => this.events.inc({ event, outcome }, count)),
    );
  }

  private recordOwnerLoad({ busyShare, timerDelayMs, parts }: LogFields): void {
    this.ownerBusyShare.set(Number(busyShare ?? 0));
    this.ownerTimerDelay.set(Number(timerDelayMs));
    (parts as readonly WorkTotal[]).forEach(({ part, totalMs }) =>
      this.ownerWork.inc({ part }, totalMs),
    );
  }

  private recordEvacuations({ zones, runs }: LogFields): void {
    this.evacuatedZones.set(Number(zones));
    this.evacuationRunsLeft.set(Number(runs));
  }

  /** Renders all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }
}
