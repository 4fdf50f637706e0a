/** Observability of one entry: request log, metrics, error-budget burn and its alerts. */
import { type Clock, Disposable, type Logger, type Random } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { type LinkCounters } from '@acaciadock/peers';
import { type LogService } from '@acaciadock/platform';
import {
  BurnAlerts,
  BurnRecorder,
  type BurnRecorderOptions,
  buildBurnReport,
  OutcomeCounter,
  Metrics,
  OutcomeFanOut,
  RequestLog,
} from '@acaciadock/telemetry';
import { type OperatorRoute } from './OperatorRoute.js';
import { ReportRoutes } from './ReportRoutes.js';

const ALERT_PERIOD_MS = 30_000;

export interface ObservabilityOptions extends BurnRecorderOptions {
  readonly config: ConfigView;
  readonly log: LogService;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export class Observability extends Disposable {
  readonly metrics = new Metrics();

  readonly counts = new OutcomeCounter();

  readonly burn: BurnRecorder;

  /** Receives the outcome of every request from the gateway. */
  readonly recorder: OutcomeFanOut;

  private readonly alerts = new BurnAlerts();

  constructor(private readonly options: ObservabilityOptions) {
    super();
    const { config, log, clock, random, logger } = options;
    this.burn = this.register(new BurnRecorder(options, config, log, clock, random));
    this.recorder = new OutcomeFanOut([
      this.counts,
      this.metrics,
      this.burn,
      new RequestLog(logger),
    ]);
    this.register(this.alerts.onAlert((alert) => logger.warn('burn-alert', { ...alert })));
    this.register(clock.every(ALERT_PERIOD_MS, () => this.evaluateAlerts()));
    this.metrics.addGauge(
      'acaciadock_config_version',
      'Version of the configuration in force at this entry.',
      () => config.state().version,
    );
  }

  /** Adds gauges for the traffic over the links to the other entries. */
  addLinkGauges(counters: LinkCounters): void {
    const { metrics } = this;
    metrics.addGauge(
      'acaciadock_peer_sent_bytes',
      'Bytes sent to other entries.',
      () => counters.sentBytes,
    );
    metrics.addGauge(
      'acaciadock_peer_received_bytes',
      'Bytes received from other entries.',
      () => counters.receivedBytes,
    );
    metrics.addGauge(
      'acaciadock_peer_rejected_messages',
      'Messages of other entries that did not fit the contract.',
      () => counters.rejectedMessages,
    );
  }

  routes(): readonly OperatorRoute[] {
    const { config, clock } = this.options;
    return new ReportRoutes(config, this.burn, this.metrics, clock).routes();
  }

  private evaluateAlerts(): void {
    const { config, clock } = this.options;
    this.alerts.evaluate(
      buildBurnReport(config.state().document, this.burn.history, clock.unixMs()),
    );
  }
}
