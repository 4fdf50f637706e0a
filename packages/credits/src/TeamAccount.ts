/** What this member holds of one team's credits, and what it could use. */
import { type MemberId } from '@acaciadock/membership';

const DEMAND_LASTS_MS = 1_500;
const PLEDGE_LASTS_MS = 3_000;
const FIRST_DEMAND_PAUSE_MS = 50;
const MOST_DEMAND_PAUSE_MS = 2_000;

/** What another member told of its demand. */
export interface PeerDemand {
  readonly count: number;
  readonly holding: number;
  readonly need: number;
}

interface Pledge {
  credits: number;
  readonly untilMs: number;
}

export class TeamAccount {
  /** Granted to this member by the log, as far as it has read. */
  granted = 0;

  /** Received less sent over all channels that are not balanced yet. */
  net = 0;

  /** Put aside to be burnt. */
  aside = 0;

  running = 0;

  private demand = 0;

  private demandUntilMs = 0;

  private nextAskMs = 0;

  private askPauseMs = FIRST_DEMAND_PAUSE_MS;

  private round = 0;

  private readonly pledges = new Map<MemberId, Pledge>();

  get holding(): number {
    return this.granted + this.net - this.aside;
  }

  get free(): number {
    return this.holding - this.running;
  }

  /** How many queued requests wait for a credit here. */
  shortage(nowMs: number): number {
    return nowMs < this.demandUntilMs ? this.demand : 0;
  }

  want(count: number, nowMs: number): void {
    if (this.shortage(nowMs) === 0 || count > 2 * this.demand) this.askSoon(nowMs);
    this.demand = count;
    this.demandUntilMs = nowMs + DEMAND_LASTS_MS;
  }

  start(): void {
    this.running += 1;
    this.demand = Math.max(0, this.demand - 1);
  }

  /** Credits have arrived: asking has worked, so it goes on at once. */
  askSoon(nowMs: number): void {
    this.askPauseMs = FIRST_DEMAND_PAUSE_MS;
    this.nextAskMs = nowMs;
    this.round = 0;
  }

  /**
   * How many credits to ask of each of `peerCount` peers now, or 0. The first round asks each for
   * an equal part, later rounds for twice as much; without success the pauses grow.
   */
  dueDemand(peerCount: number, nowMs: number): number {
    const shortage = this.shortage(nowMs);
    if (shortage === 0 || peerCount === 0 || nowMs < this.nextAskMs) return 0;
    const count = Math.min(shortage, Math.ceil((shortage * 2 ** this.round) / peerCount));
    this.round += 1;
    this.nextAskMs = nowMs + this.askPauseMs;
    this.askPauseMs = Math.min(MOST_DEMAND_PAUSE_MS, this.askPauseMs * 2);
    return count;
  }

  /**
   * How many credits to give a peer now. What is free beyond the own queue is given; where both
   * queue, the peer is promised as much as brings both holdings in proportion to their needs, and
   * a peer that holds nothing at least one.
   */
  giveTo(memberId: MemberId, demand: PeerDemand, nowMs: number): number {
    const shortage = this.shortage(nowMs);
    const surplus = Math.max(0, this.free - shortage);
    const given = Math.min(surplus, demand.count);
    if (given > 0 || demand.count === 0) return given;
    const need = this.running + shortage;
    const excess = Math.floor(
      (this.holding * demand.need - demand.holding * need) / Math.max(1, need + demand.need),
    );
    const starving = demand.holding === 0 && this.holding > 0 ? 1 : 0;
    const credits = Math.min(demand.count, Math.max(excess, starving));
    if (credits > 0) this.pledges.set(memberId, { credits, untilMs: nowMs + PLEDGE_LASTS_MS });
    return 0;
  }

  get hasPledges(): boolean {
    return this.pledges.size > 0;
  }

  /** Takes one free credit to fulfil a promise; tells to whom it goes. */
  nextPledge(nowMs: number): MemberId | undefined {
    if (this.free <= 0) return undefined;
    for (const [memberId, pledge] of this.pledges) {
      this.pledges.delete(memberId);
      if (pledge.untilMs < nowMs) continue;
      if (pledge.credits > 1) {
        this.pledges.set(memberId, { ...pledge, credits: pledge.credits - 1 });
      }
      return memberId;
    }
    return undefined;
  }
}
