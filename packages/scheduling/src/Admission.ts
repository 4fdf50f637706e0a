/**
 * Refuses on arrival what would start too late: the predicted start is held against the deadline,
 * and for urgent work also against the time within which urgent work must start. The prediction is
 * the fluid one of fair queueing: work ahead of the ticket over the team's rate now.
 */
import { type Urgency } from '@acaciadock/core';
import { type Backlog } from './QueueDiscipline.js';

/** Part of the time that a ticket has which its predicted wait may use up. */
const WAIT_MARGIN = 0.8;
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
  { readonly kind: 'admitted' } | { readonly kind: 'late'; readonly retryAfterMs: number };

/** Slot time that all teams are given while the ticket's team is given its own. */
export type CompetingMs = (leadMs: number, turnMs: number) => number;

/**
 * Highest wait of a new ticket in milliseconds, as if all teams that wait or run now competed all
 * the time; infinite if the team has no slot to wait for. Constant time.
 */
export function highestWaitMs(backlog: Backlog, capacity: Capacity): number {
  if (backlog.tickets === 0 && capacity.freeSlots > 0 && capacity.teamLimit > 0) return 0;
  const slots = Math.max(0, capacity.slots - capacity.heldSlots);
  const rate = Math.min(backlog.portion * slots, capacity.teamLimit);
  if (rate <= 0) return Number.POSITIVE_INFINITY;
  return (backlog.aheadMs + backlog.debtMs) / rate;
}

/** The wait of a new ticket, with teams that run out of work leaving their part to the others. */
export function predictedWaitMs(
  urgency: Urgency,
  backlog: Backlog,
  capacity: Capacity,
  competingMs: CompetingMs,
): number {
  const highestMs = highestWaitMs(backlog, capacity);
  if (highestMs === 0 || highestMs === Number.POSITIVE_INFINITY) return highestMs;
  const slots = capacity.slots - capacity.heldSlots;
  const inLeadMs = urgency === 'urgent' ? Math.min(backlog.aheadMs, backlog.leadMs) : 0;
  const turnMs = backlog.aheadMs - inLeadMs;
  const allMs =
    urgency === 'urgent'
      ? competingMs(inLeadMs + backlog.debtMs, turnMs)
      : competingMs(0, turnMs + backlog.debtMs);
  const sharedMs = Math.max(0, allMs - backlog.debtMs) / slots;
  return Math.min(highestMs, Math.max(sharedMs, backlog.aheadMs / capacity.teamLimit));
}

/**
 * How long a ticket may be predicted to wait and still be taken, in milliseconds: a part of the
 * time it has, so that a prediction that is somewhat low costs no start and no run in vain.
 */
export function mayWaitMsOf(arrival: Arrival): number {
  const latestStartMs = Math.min(
    arrival.deadlineAtMs - arrival.estimateMs,
    arrival.urgency === 'urgent' ? arrival.startByMs : Number.POSITIVE_INFINITY,
  );
  return (latestStartMs - arrival.nowMs) * WAIT_MARGIN;
}

export function admit(arrival: Arrival, waitMs: number): AdmissionDecision {
  const mayWaitMs = mayWaitMsOf(arrival);
  if (waitMs <= mayWaitMs) return { kind: 'admitted' };
  const retryAfterMs = Math.min(
    MOST_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs - Math.max(0, mayWaitMs))),
  );
  return { kind: 'late', retryAfterMs };
}
