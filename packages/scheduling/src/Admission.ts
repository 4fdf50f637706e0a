/**
 * Admission control: refuses a ticket on arrival if it would start too late. The predicted start is
 * compared with the deadline and, for urgent work, also with the latest permitted start. The
 * prediction uses the fluid model of fair queueing: work ahead of the ticket divided by the rate at
 * which the team is served now.
 */
import { type AdmissionDecision, admitWithin, fluidWaitMs, type Urgency } from '@acaciadock/core';
import { type Backlog } from './QueueDiscipline.js';

/** The fraction of the time until a ticket's latest start that its predicted wait may take. */
const MAX_WAIT_RATIO = 0.8;
const RETRY_AFTER = { minMs: 100, maxMs: 60_000 };

export interface Capacity {
  /** Slots that work of this urgency may use. */
  readonly slots: number;
  /** Slots free now for work of this urgency. */
  readonly freeSlots: number;
  /** Maximum number of slots that the team may use across all pools. */
  readonly teamLimit: number;
  /** Slots held by long runs that are not expected to free them within the wait. */
  readonly heldSlots: number;
}

export interface Arrival {
  readonly urgency: Urgency;
  readonly nowMs: number;
  readonly deadlineAtMs: number;
  readonly estimateMs: number;
  /** Latest permitted start of urgent work, independent of the deadline. */
  readonly startByMs: number;
}

/** Predicts the slot time that all teams receive while the ticket's team receives its own. */
export type CompetingMs = (leadMs: number, turnMs: number) => number;

/**
 * Upper bound of the wait of a new ticket in milliseconds, which assumes that all teams active now
 * stay active throughout; infinite if the team can't get a slot. Takes constant time.
 */
export function upperBoundWaitMs(backlog: Backlog, capacity: Capacity): number {
  if (backlog.tickets === 0 && capacity.freeSlots > 0 && capacity.teamLimit > 0) return 0;
  const slots = Math.max(0, capacity.slots - capacity.heldSlots);
  const rate = Math.min(backlog.portion * slots, capacity.teamLimit);
  return fluidWaitMs(backlog.aheadMs + backlog.debtMs, rate);
}

/**
 * Predicted wait of a new ticket, where teams that run out of work leave their portion to others.
 */
export function predictedWaitMs(
  urgency: Urgency,
  backlog: Backlog,
  capacity: Capacity,
  competingMs: CompetingMs,
): number {
  const upperBoundMs = upperBoundWaitMs(backlog, capacity);
  if (upperBoundMs === 0 || upperBoundMs === Number.POSITIVE_INFINITY) return upperBoundMs;
  const slots = capacity.slots - capacity.heldSlots;
  const inLeadMs = urgency === 'urgent' ? Math.min(backlog.aheadMs, backlog.leadMs) : 0;
  const turnMs = backlog.aheadMs - inLeadMs;
  const allMs =
    urgency === 'urgent'
      ? competingMs(inLeadMs + backlog.debtMs, turnMs)
      : competingMs(0, turnMs + backlog.debtMs);
  const sharedMs = Math.max(0, allMs - backlog.debtMs) / slots;
  return Math.min(upperBoundMs, Math.max(sharedMs, backlog.aheadMs / capacity.teamLimit));
}

/**
 * The longest predicted wait, in milliseconds, with which a ticket is still admitted. It is less
 * than the time until the latest start, so that a ticket whose wait is predicted slightly too low
 * still starts in time and finishes before its deadline.
 */
export function waitBudgetMs(arrival: Arrival): number {
  const latestStartMs = Math.min(
    arrival.deadlineAtMs - arrival.estimateMs,
    arrival.urgency === 'urgent' ? arrival.startByMs : Number.POSITIVE_INFINITY,
  );
  return (latestStartMs - arrival.nowMs) * MAX_WAIT_RATIO;
}

export function admit(arrival: Arrival, waitMs: number): AdmissionDecision {
  return admitWithin(waitMs, waitBudgetMs(arrival), RETRY_AFTER);
}
