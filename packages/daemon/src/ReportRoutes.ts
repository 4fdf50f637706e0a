/** HTTP routes for the burn and share reports and for Prometheus metrics. */
import { type Clock } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import {
  type BurnRecorder,
  buildBurnReport,
  buildShareReport,
  type Metrics,
} from '@acaciadock/telemetry';
import { type OperatorAnswer, type OperatorRoute } from './OperatorRoute.js';

export class ReportRoutes {
  constructor(
    private readonly config: ConfigView,
    private readonly burn: BurnRecorder,
    private readonly metrics: Metrics,
    private readonly clock: Clock,
  ) {}

  routes(): readonly OperatorRoute[] {
    return [
      { method: 'GET', path: '/v1/reports/burn', answer: () => this.burnReport() },
      { method: 'GET', path: '/v1/reports/share', answer: () => this.shareReport() },
      { method: 'GET', path: '/metrics', answer: () => this.metricsText() },
    ];
  }

  private async burnReport(): Promise<OperatorAnswer> {
    await this.burn.flush();
    const { document } = this.config.state();
    const body = buildBurnReport(document, this.burn.history, this.clock.unixMs());
    return { statusCode: 200, body };
  }

  private async shareReport(): Promise<OperatorAnswer> {
    await this.burn.flush();
    const { document } = this.config.state();
    const body = buildShareReport(document, this.burn.history, this.clock.unixMs());
    return { statusCode: 200, body };
  }

  private async metricsText(): Promise<OperatorAnswer> {
    const text = await this.metrics.text();
    return { statusCode: 200, body: text, contentType: this.metrics.contentType };
  }
}
