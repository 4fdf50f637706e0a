/**
 * The interface of a queue that decides in which order the waiting tickets of a pool get its slots.
 * Production uses `FairQueue`; the benchmarks compare it with simpler disciplines.
 */
import { type TeamId, type Urgency } from '@acaciadock/core';
import { type RunKind } from './RunTimeEstimator.js';

export interface QueueItem extends RunKind {
  readonly ticketId: string;
  /** When the request was accepted, wall-clock milliseconds. */
  readonly acceptedAtMs: number;
}

/** Returns the currently expected run time of runs of this kind, in milliseconds. */
export type EstimateOf = (kind: RunKind) => number;

/** The inputs for predicting how long a new ticket of a team would wait. */
export interface Backlog {
  /** Number of waiting tickets of the team. */
  readonly tickets: number;
  /** Expected run time of the team's tickets that are ahead of a new one of this urgency. */
  readonly aheadMs: number;
  /** The team's fraction of the slots among all teams that compete now, in (0, 1]. */
  readonly portion: number;
  /** The team's lead over the team that is next, as its own slot time; others catch up first. */
  readonly debtMs: number;
  /** Slot time that the team may still use ahead of its turn for urgent work. */
  readonly leadMs: number;
}

/** The slot time that a team receives before one of its tickets starts. */
export interface WorkAhead {
  /** Slot time received ahead of its turn, in competition with urgent work only. */
  readonly leadMs: number;
  /** Slot time received in its turn. */
  readonly turnMs: number;
  /** How far into the future arrivals of other teams are taken into account. */
  readonly horizonMs: number;
}

export interface QueueSettings {
  /** The weight of each team. */
  readonly shares: ReadonlyMap<TeamId, number>;
  /** Slots that the queue's tickets compete for. */
  readonly slots: number;
  /**
   * How far urgent work may run ahead of its team's turn, as time at the team's full portion of
   * slots.
   */
  readonly urgentLeadMs: number;
  /** Background tickets that have waited this long are treated as urgent. */
  readonly ageingMs: number;
}

export abstract class QueueDiscipline<Item extends QueueItem> {
  /** Number of waiting tickets. */
  abstract readonly size: number;

  /** Number of waiting urgent tickets. */
  abstract readonly urgentSize: number;

  abstract configure(settings: QueueSettings): void;

  /** Adds a ticket; a ticket that is already queued keeps its place. */
  abstract push(item: Item): void;

  abstract get(ticketId: string): Item | undefined;

  /** Removes a ticket without starting it, in constant time. */
  abstract remove(ticketId: string): Item | undefined;

  /**
   * Returns the next ticket to start, without removing it; undefined if none may start now.
   * @param nowMs wall-clock milliseconds
   * @param backgroundAllowed whether background work may take the next slot; background tickets
   *   that have aged may take it in any case
   */
  abstract peek(nowMs: number, backgroundAllowed: boolean): Item | undefined;

  /** Removes a ticket to start it. Returns the estimated slot time that its team was charged. */
  abstract start(item: Item): number;

  /** Replaces the estimated charge of a run by the time that it held the slot. */
  abstract end(item: QueueItem, chargedMs: number, heldMs: number): void;

  /** Charges a team for slot time that it received in other pools. */
  abstract chargeElsewhere(teamId: TeamId, slotMs: number): void;

  /** Excludes a team from scheduling until `unpark`; its tickets stay queued. */
  abstract park(teamId: TeamId): void;

  abstract unpark(teamId: TeamId): void;

  abstract backlog(teamId: TeamId, urgency: Urgency): Backlog;

  /** Counts an arriving ticket in its team's arrival rate, whether or not it is admitted. */
  abstract recordArrival(kind: RunKind, nowMs: number): void;

  /**
   * Predicts the slot time that all teams together receive while this team receives its own, if
   * work keeps arriving at the recent rate. The model is generalized processor sharing: a team that
   * runs out of work leaves its portion to the others. Takes time linear in the number of teams.
   */
  abstract competingMs(teamId: TeamId, ahead: WorkAhead, nowMs: number): number;

  /** The first urgent ticket of the team whose turn is next among those with urgent work. */
  abstract nextUrgent(): Item | undefined;

  abstract items(): Item[];
}
