/**
 * Weighted fair queueing over teams by start tags: start-time fair queueing (Goyal, Vin and Cheng,
 * 1996) for many servers at once as in SFQ(D) (Jin, Chase and Kaur, 2004). A team's tag grows by
 * slot-milliseconds divided by its share as its tickets start, and the team with the smallest tag
 * is next. Urgent tickets may run ahead of their team's turn by a bounded lead, the warp of
 * borrowed virtual time scheduling (Duda and Cheriton, 1999): they start earlier, while the team's
 * long-run portion stays the same.
 *
 * A team that becomes active again starts at the current virtual time, so idle time earns it no
 * credit, but slot time by which it was ahead stays charged. A parked team keeps its tag and, once
 * unparked, catches up by at most `MAX_CATCH_UP_MS` of its portion. Starting a ticket takes O(log
 * teams); removing one takes O(1) while its team has other tickets queued.
 */
import { type TeamId, type Urgency } from '@acaciadock/core';
import { IndexedHeap } from './IndexedHeap.js';
import {
  type Backlog,
  type EstimateOf,
  type WorkAhead,
  QueueDiscipline,
  type QueueItem,
  type QueueSettings,
} from './QueueDiscipline.js';
import { type RunKind } from './RunTimeEstimator.js';
import { TeamQueue } from './TeamQueue.js';

const MAX_CATCH_UP_MS = 1_000;
const MIN_SHARE = 1e-6;

export class FairQueue<Item extends QueueItem> extends QueueDiscipline<Item> {
  private readonly waiting = new Map<string, Item>();

  private readonly teams = new Map<TeamId, TeamQueue<Item>>();

  private readonly byTag = new IndexedHeap<TeamQueue<Item>>((team) => team.tag);

  private readonly urgentByTag = new IndexedHeap<TeamQueue<Item>>((team) => team.tag);

  private virtualTime = 0;

  /** Sum of the shares of the teams that have waiting or running tickets. */
  private activeShare = 0;

  private urgentCount = 0;

  private settings: QueueSettings = {
    shares: new Map(),
    slots: 0,
    urgentLeadMs: 0,
    ageingMs: Number.POSITIVE_INFINITY,
  };

  constructor(private readonly estimateOf: EstimateOf) {
    super();
  }

  override get size(): number {
    return this.waiting.size;
  }

  override get urgentSize(): number {
    return this.urgentCount;
  }

  override configure(settings: QueueSettings): void {
    this.settings = settings;
    this.teams.forEach((team) => Object.assign(team, { share: this.shareOf(team.teamId) }));
    this.evictIdleTeams();
    this.recomputeActiveShare();
  }

  override push(item: Item): void {
    if (this.waiting.has(item.ticketId)) return;
    const team = this.teamOf(item.teamId);
    this.updateTeam(team, () => {
      if (team.size === 0) team.tag = Math.max(team.tag, this.virtualTime);
      team.push(item);
      this.waiting.set(item.ticketId, item);
    });
  }

  override get(ticketId: string): Item | undefined {
    return this.waiting.get(ticketId);
  }

  override remove(ticketId: string): Item | undefined {
    const item = this.waiting.get(ticketId);
    if (!item) return undefined;
    this.updateTeam(this.teamOf(item.teamId), (team) => this.drop(team, item));
    return item;
  }

  override peek(nowMs: number, backgroundAllowed: boolean): Item | undefined {
    const next = this.byTag.top()?.first(nowMs, this.settings.ageingMs);
    const urgentTeam = this.urgentByTag.top();
    const urgent = urgentTeam?.firstUrgent();
    // A team with urgent work puts forward an urgent ticket or an aged background ticket, and both
    // may start even if `backgroundAllowed` is false.
    if (!next || urgentTeam === this.byTag.top()) return next;
    if (!backgroundAllowed && !this.isUrgentOrAged(next, nowMs)) return urgent;
    if (!urgentTeam) return next;
    const tagLead = urgentTeam.tag - (this.byTag.top()?.tag ?? 0);
    return tagLead <= this.toVirtualTime(this.settings.urgentLeadMs) ? urgent : next;
  }

  override start(item: Item): number {
    const chargedMs = this.estimateOf(item);
    this.updateTeam(this.teamOf(item.teamId), (team) => {
      this.virtualTime = Math.max(this.virtualTime, this.byTag.top()?.tag ?? 0);
      this.drop(team, item);
      FairQueue.charge(team, chargedMs);
      Object.assign(team, { running: team.running + 1 });
    });
    return chargedMs;
  }

  override end(item: QueueItem, chargedMs: number, heldMs: number): void {
    this.updateTeam(this.teamOf(item.teamId), (team) => {
      FairQueue.charge(team, heldMs - chargedMs);
      Object.assign(team, { running: Math.max(0, team.running - 1) });
    });
  }

  override chargeElsewhere(teamId: TeamId, slotMs: number): void {
    this.updateTeam(this.teamOf(teamId), (team) => FairQueue.charge(team, slotMs));
  }

  override park(teamId: TeamId): void {
    this.updateTeam(this.teamOf(teamId), (team) => Object.assign(team, { parked: true }));
  }

  override unpark(teamId: TeamId): void {
    const parked = this.teams.get(teamId);
    if (!parked?.parked) return;
    const earliestTag = this.virtualTime - this.toVirtualTime(MAX_CATCH_UP_MS);
    this.updateTeam(parked, (team) =>
      Object.assign(team, { parked: false, tag: Math.max(team.tag, earliestTag) }),
    );
  }

  override backlog(teamId: TeamId, urgency: Urgency): Backlog {
    const team = this.teams.get(teamId);
    const share = this.shareOf(teamId);
    const active = team && FairQueue.isActive(team);
    const tag = Math.max(team?.tag ?? 0, this.virtualTime);
    const minTag = Math.min(this.byTag.top()?.tag ?? tag, tag);
    const competitors = urgency === 'urgent' ? this.urgentByTag : this.byTag;
    const leadLeft = this.toVirtualTime(this.settings.urgentLeadMs) - (tag - minTag);
    return {
      tickets: team?.size ?? 0,
      aheadMs: team?.aheadMs(urgency, this.estimateOf) ?? 0,
      portion: share / (this.activeShare + (active ? 0 : share)),
      debtMs: (tag - Math.min(tag, competitors.top()?.tag ?? tag)) * share,
      leadMs: Math.max(0, leadLeft * share),
    };
  }

  override recordArrival(kind: RunKind, nowMs: number): void {
    this.teamOf(kind.teamId).recordArrival(kind.urgency, this.estimateOf(kind), nowMs);
  }

  override competingMs(teamId: TeamId, ahead: WorkAhead, nowMs: number): number {
    const { leadMs, turnMs, horizonMs } = ahead;
    const share = this.shareOf(teamId);
    let sumMs = leadMs + turnMs;
    this.teams.forEach((team) => {
      if (team.teamId === teamId || !FairQueue.isActive(team)) return;
      const part = team.share / share;
      const aheadMs = (urgency: Urgency): number =>
        team.aheadMs(urgency, this.estimateOf) + team.expectedArrivalsMs(urgency, nowMs, horizonMs);
      const urgentMs = Math.min(aheadMs('urgent'), leadMs * part);
      const inTurnMs = Math.min(aheadMs('background'), turnMs * part);
      // Not their sum: `aheadMs('background')` includes the urgent work, so the two overlap.
      sumMs += Math.max(urgentMs, inTurnMs);
    });
    return sumMs;
  }

  override nextUrgent(): Item | undefined {
    return this.urgentByTag.top()?.firstUrgent();
  }

  override items(): Item[] {
    return [...this.waiting.values()];
  }

  /** Number of teams that the queue keeps state for. */
  get teamCount(): number {
    return this.teams.size;
  }

  private isUrgentOrAged(item: Item, nowMs: number): boolean {
    return item.urgency === 'urgent' || nowMs - item.acceptedAtMs >= this.settings.ageingMs;
  }

  private drop(team: TeamQueue<Item>, item: Item): void {
    team.remove(item);
    this.waiting.delete(item.ticketId);
  }

  private static charge(team: TeamQueue<QueueItem>, slotMs: number): void {
    Object.assign(team, { tag: team.tag + slotMs / team.share });
  }

  private teamOf(teamId: TeamId): TeamQueue<Item> {
    const known = this.teams.get(teamId);
    if (known) return known;
    const team = new TeamQueue<Item>(teamId, this.shareOf(teamId));
    this.teams.set(teamId, team);
    return team;
  }

  private shareOf(teamId: TeamId): number {
    return Math.max(MIN_SHARE, this.settings.shares.get(teamId) ?? MIN_SHARE);
  }

  /** Applies a change to a team, then updates the aggregate counters and the heaps. */
  private updateTeam(team: TeamQueue<Item>, apply: (team: TeamQueue<Item>) => void): void {
    const wasActive = FairQueue.isActive(team);
    const urgentBefore = team.urgentSize;
    apply(team);
    if (wasActive !== FairQueue.isActive(team)) {
      this.activeShare = Math.max(0, this.activeShare + (wasActive ? -team.share : team.share));
    }
    this.urgentCount += team.urgentSize - urgentBefore;
    FairQueue.syncMembership(this.byTag, team, team.size > 0 && !team.parked);
    FairQueue.syncMembership(this.urgentByTag, team, team.urgentSize > 0 && !team.parked);
  }

  private static syncMembership<T>(heap: IndexedHeap<T>, member: T, belongs: boolean): void {
    if (belongs) heap.update(member);
    else heap.remove(member);
  }

  private static isActive(team: TeamQueue<QueueItem>): boolean {
    return team.size > 0 || team.running > 0;
  }

  /** Converts time at the full portion of a team to a difference of tags. */
  private toVirtualTime(durationMs: number): number {
    const competing = Math.max(this.activeShare, MIN_SHARE);
    return (durationMs * this.settings.slots) / competing;
  }

  private recomputeActiveShare(): void {
    this.activeShare = 0;
    this.teams.forEach((team) => {
      if (FairQueue.isActive(team)) this.activeShare += team.share;
    });
  }

  /** Drops idle teams that are not ahead: a new entry would start at the virtual time as well. */
  private evictIdleTeams(): void {
    this.teams.forEach((team, teamId) => {
      if (FairQueue.isActive(team) || team.tag > this.virtualTime) return;
      this.teams.delete(teamId);
    });
  }
}
