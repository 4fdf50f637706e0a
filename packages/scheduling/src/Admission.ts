/**
 * Refuses on arrival what would start too late: the predicted start is held against the deadline,
 * and for urgent work also against the time within which urgent work must start. The prediction is
 * the fluid one of fair queueing: work ahead of the ticket over the team's rate now.
 */
import { type Urgency } from '@acaciadock/core';
import { type Backlog } from './QueueDiscipline.js';

const MIN_RETRY_AFTER_MS = 100;
const MOST_RETRY_AFTER_MS = 60_000;

export interface Capacity {
  /** Slots that work of this urgency may use. */
  readonly slots: number;
  /** Slots free now for work of this urgency. */
  readonly freeSlots: number;
  /** Most slots that the team may use anywhere. */
  readonly teamLimit: number;
  /** Slots held by runs that are expected to hold them on for longer than the wait may take. */
  readonly heldSlots: number;
}

export interface Arrival {
  readonly urgency: Urgency;
  readonly nowMs: number;
  readonly deadlineAtMs: number;
  readonly estimateMs: number;
  /** Latest start apart from the deadline, for urgent work. */
  readonly startByMs: number;
}

export type AdmissionDecision =
  | { readonly kind: 'admitted'; readonly predictedWaitMs: number }
  | {
      readonly kind: 'late';
      readonly predictedWaitMs: number;
      readonly retryAfterMs: number;
    };

/** Predicted wait of a new ticket in milliseconds; infinite if the team has no slot to wait for. */
export function predictedWaitMs(urgency: Urgency, backlog: Backlog, capacity: Capacity): number {
  if (backlog.tickets === 0 && capacity.freeSlots > 0 && capacity.teamLimit > 0) return 0;
  const slots = Math.max(0, capacity.slots - capacity.heldSlots);
  const rate = Math.min(backlog.portion * slots, capacity.teamLimit);
  if (rate <= 0) return Number.POSITIVE_INFINITY;
  if (urgency === 'background') return backlog.aheadMs / rate;
  const urgentRate = Math.max(rate, Math.min(backlog.urgentPortion * slots, capacity.teamLimit));
  const inLeadMs = Math.min(backlog.aheadMs, backlog.leadMs);
  return inLeadMs / urgentRate + (backlog.aheadMs - inLeadMs) / rate;
}

export function admit(arrival: Arrival, waitMs: number): AdmissionDecision {
  const latestStartMs = Math.min(
    arrival.deadlineAtMs - arrival.estimateMs,
    arrival.urgency === 'urgent' ? arrival.startByMs : Number.POSITIVE_INFINITY,
  );
  const mayWaitMs = latestStartMs - arrival.nowMs;
  if (waitMs <= mayWaitMs) return { kind: 'admitted', predictedWaitMs: waitMs };
  const retryAfterMs = Math.min(
    MOST_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs - Math.max(0, mayWaitMs))),
  );
  return { kind: 'late', predictedWaitMs: waitMs, retryAfterMs };
}
