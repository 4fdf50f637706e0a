/**
 * In which order waiting tickets of a pool get its slots. The fair queue is what the product
 * runs; the benches measure it against simpler orders.
 */
import { type TeamId, type Urgency } from '@acaciadock/core';
import { type RunKind } from './RunTimeEstimator.js';

export interface QueueItem extends RunKind {
  readonly ticketId: string;
  /** When the request was accepted, wall-clock milliseconds. */
  readonly acceptedAtMs: number;
}

/** How long runs like this one are expected to take now, in milliseconds. */
export type EstimateOf = (kind: RunKind) => number;

/** What decides how long a new ticket of a team would wait. */
export interface Backlog {
  /** Tickets of the team that wait. */
  readonly tickets: number;
  /** Expected run time of the tickets that go before a new one of this team and urgency. */
  readonly aheadMs: number;
  /** The team's part of the slots against all teams that compete now, in (0, 1]. */
  readonly portion: number;
  /** Slot time that the others are given before the team's turn comes, as its own. */
  readonly debtMs: number;
  /** Slot time that the team may still take ahead of its turn for urgent work. */
  readonly leadMs: number;
}

/** The slot time that goes before a ticket of a team. */
export interface OwnTurn {
  /** What the team is given ahead of its turn, competing with urgent work only. */
  readonly leadMs: number;
  /** What it is given in its turn. */
  readonly turnMs: number;
  /** For how long others' work that arrives is counted. */
  readonly horizonMs: number;
}

export interface QueueSettings {
  /** Weight of each team's portion. */
  readonly shares: ReadonlyMap<TeamId, number>;
  /** Slots that the queue's tickets compete for. */
  readonly slots: number;
  /** How far urgent work may run ahead of its team's turn, as time at the team's full portion. */
  readonly urgentLeadMs: number;
  /** Background work that has waited this long is treated as urgent. */
  readonly ageingMs: number;
}

export abstract class QueueDiscipline<Item extends QueueItem> {
  /** Tickets that wait. */
  abstract readonly size: number;

  /** Tickets that wait and are urgent. */
  abstract readonly urgentSize: number;

  abstract configure(settings: QueueSettings): void;

  /** Adds a ticket; one that waits already is left where it is. */
  abstract push(item: Item): void;

  abstract get(ticketId: string): Item | undefined;

  /** Takes a ticket out without running it. Constant time. */
  abstract remove(ticketId: string): Item | undefined;

  /**
   * The ticket whose turn it is; undefined if none may run now.
   * @param nowMs wall-clock milliseconds
   * @param backgroundAllowed whether background work may take the next slot
   */
  abstract peek(nowMs: number, backgroundAllowed: boolean): Item | undefined;

  /** Takes a ticket out to run it. Returns the slot time that its team was charged, by estimate. */
  abstract start(item: Item): number;

  /** Replaces what the team was charged by the time that the slot was held. */
  abstract end(item: QueueItem, chargedMs: number, heldMs: number): void;

  /** Charges a team for slot time that it was given elsewhere. */
  abstract chargeElsewhere(teamId: TeamId, slotMs: number): void;

  /** Leaves a team out, with its place kept, until `unpark`. */
  abstract park(teamId: TeamId): void;

  abstract unpark(teamId: TeamId): void;

  abstract backlog(teamId: TeamId, urgency: Urgency): Backlog;

  /** Counts work of a team that arrives, whether or not it is taken. */
  abstract arrive(kind: RunKind, nowMs: number): void;

  /**
   * Slot time that all teams together are given while this team is given its own, if work goes on
   * to arrive as of late: generalized processor sharing, where a team that has no more to run
   * leaves its part to the others. Costs time in proportion to the teams that wait.
   */
  abstract competingMs(teamId: TeamId, own: OwnTurn, nowMs: number): number;

  /** The urgent ticket that has waited longest among the teams' first ones. */
  abstract oldestUrgent(): Item | undefined;

  abstract items(): Item[];
}
