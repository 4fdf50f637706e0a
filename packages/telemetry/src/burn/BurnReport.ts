/**
 * The error-budget burn report. The burn rate is the ratio of bad requests divided by the ratio
 * that the objective allows: at a rate of 1 the error budget is used up exactly at the end of the
 * objective's period (see multi-window burn rates in the Site Reliability Workbook, chapter 5).
 */
import { type ServiceId } from '@acaciadock/core';
import { type ConfigDocument, type ServiceConfig } from '@acaciadock/config';
import {
  type BurnHistory,
  HOUR_MS,
  MINUTE_MS,
  type ServiceCounts,
  type ServicePoint,
} from './BurnHistory.js';
import { type BurnCause } from './BurnSummary.js';

export const BURN_WINDOWS = [
  { name: '5m', windowMs: 5 * MINUTE_MS },
  { name: '1h', windowMs: HOUR_MS },
  { name: '6h', windowMs: 6 * HOUR_MS },
  { name: '3d', windowMs: 72 * HOUR_MS },
] as const;

export type BurnWindowName = (typeof BURN_WINDOWS)[number]['name'];

const MAX_CAUSES = 5;
const BUDGET_WINDOW_MS = 72 * HOUR_MS;

export interface WindowBurn {
  readonly window: BurnWindowName;
  readonly total: number;
  readonly bad: number;
  readonly slow: number;
  readonly availabilityBurnRate: number;
  readonly latencyBurnRate: number;
}

export interface ServiceBurn {
  readonly serviceId: ServiceId;
  readonly availabilityTarget: number;
  readonly latencyTarget: number;
  readonly latencyObjectiveMs: number;
  /** Fraction of the error budget of the last three days that is left; negative if overspent. */
  readonly availabilityBudgetLeft: number;
  readonly latencyBudgetLeft: number;
  readonly windows: readonly WindowBurn[];
  readonly causes: readonly BurnCause[];
  readonly hourly: readonly ServicePoint[];
}

export interface BurnReport {
  readonly madeAtMs: number;
  readonly services: readonly ServiceBurn[];
}

/** Burn rate of `bad` requests out of `total` for a target ratio; 0 if there were no requests. */
export function burnRate(bad: number, total: number, target: number): number {
  if (total === 0) return 0;
  return bad / total / (1 - target);
}

function windowBurn(
  window: BurnWindowName,
  counts: ServiceCounts,
  service: ServiceConfig,
): WindowBurn {
  const answered = counts.total - counts.bad;
  return {
    window,
    ...counts,
    availabilityBurnRate: burnRate(counts.bad, counts.total, service.availabilityTarget),
    latencyBurnRate: burnRate(counts.slow, answered, service.latencyTarget),
  };
}

function serviceBurn(
  serviceId: ServiceId,
  service: ServiceConfig,
  history: BurnHistory,
  nowMs: number,
): ServiceBurn {
  const budget = windowBurn('3d', history.service(serviceId, BUDGET_WINDOW_MS, nowMs), service);
  return {
    serviceId,
    availabilityTarget: service.availabilityTarget,
    latencyTarget: service.latencyTarget,
    latencyObjectiveMs: service.latencyObjectiveMs,
    availabilityBudgetLeft: 1 - budget.availabilityBurnRate,
    latencyBudgetLeft: 1 - budget.latencyBurnRate,
    windows: BURN_WINDOWS.map(({ name, windowMs }) =>
      windowBurn(name, history.service(serviceId, windowMs, nowMs), service),
    ),
    causes: history.topCauses(serviceId, BUDGET_WINDOW_MS, nowMs, MAX_CAUSES),
    hourly: history.hourly(serviceId),
  };
}

export function buildBurnReport(
  document: ConfigDocument,
  history: BurnHistory,
  nowMs: number,
): BurnReport {
  const services = Object.entries(document.services).map(([serviceId, service]) =>
    serviceBurn(serviceId, service, history, nowMs),
  );
  return { madeAtMs: nowMs, services };
}
