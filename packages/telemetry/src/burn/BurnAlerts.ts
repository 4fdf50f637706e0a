/**
 * Multi-window, multi-burn-rate alerts (Site Reliability Workbook, chapter 5). An alert is raised
 * while the burn rate is at or above its threshold in both windows: the long window shows that the
 * loss is significant, and the short window that it is still going on.
 */
import { type Event, EventEmitter, type ServiceId } from '@acaciadock/core';
import { type BurnReport, type BurnWindowName, type ServiceBurn } from './BurnReport.js';

export type AlertSeverity = 'page' | 'ticket';
export type Objective = 'availability' | 'latency';

interface AlertRule {
  readonly severity: AlertSeverity;
  readonly longWindow: BurnWindowName;
  readonly shortWindow: BurnWindowName;
  readonly burnRate: number;
}

export const ALERT_RULES: readonly AlertRule[] = [
  { severity: 'page', longWindow: '1h', shortWindow: '5m', burnRate: 14.4 },
  { severity: 'page', longWindow: '6h', shortWindow: '1h', burnRate: 6 },
  { severity: 'ticket', longWindow: '3d', shortWindow: '6h', burnRate: 1 },
];

export interface BurnAlert {
  readonly state: 'raised' | 'cleared';
  readonly serviceId: ServiceId;
  readonly objective: Objective;
  readonly severity: AlertSeverity;
  readonly longWindow: BurnWindowName;
  readonly shortWindow: BurnWindowName;
  readonly longBurnRate: number;
  readonly shortBurnRate: number;
}

function rateOf(service: ServiceBurn, window: BurnWindowName, objective: Objective): number {
  const found = service.windows.find((burn) => burn.window === window);
  if (!found) return 0;
  return objective === 'availability' ? found.availabilityBurnRate : found.latencyBurnRate;
}

export class BurnAlerts {
  private readonly raised = new Set<string>();

  private readonly alertEmitter = new EventEmitter<BurnAlert>();

  /** Fires once when an alert is raised and once when it is cleared. */
  readonly onAlert: Event<BurnAlert> = this.alertEmitter.event;

  evaluate(report: BurnReport): void {
    report.services.forEach((service) => {
      ALERT_RULES.forEach((rule) => {
        this.evaluateRule(service, rule, 'availability');
        this.evaluateRule(service, rule, 'latency');
      });
    });
  }

  private evaluateRule(service: ServiceBurn, rule: AlertRule, objective: Objective): void {
    const longBurnRate = rateOf(service, rule.longWindow, objective);
    const shortBurnRate = rateOf(service, rule.shortWindow, objective);
    const burning = longBurnRate >= rule.burnRate && shortBurnRate >= rule.burnRate;
    const name = [service.serviceId, objective, rule.longWindow].join('\n');
    if (burning === this.raised.has(name)) return;
    if (burning) this.raised.add(name);
    else this.raised.delete(name);
    this.alertEmitter.fire({
      state: burning ? 'raised' : 'cleared',
      serviceId: service.serviceId,
      objective,
      severity: rule.severity,
      longWindow: rule.longWindow,
      shortWindow: rule.shortWindow,
      longBurnRate,
      shortBurnRate,
    });
  }
}
