/**
 * One team's credits held by this member, and the member's demand for more:
 * - The demand is the number of requests queued here that wait for a credit, as last reported, less
 *   those that have started since.
 * - The shortage is the demand while it is valid, and 0 after `DEMAND_TTL_MS` without a report.
 * - The need is the number of credits that the member could use now: the number of running requests
 *   plus the shortage.
 */
import { type MemberId } from '@acaciadock/membership';

const DEMAND_TTL_MS = 1_500;
const PLEDGE_TTL_MS = 3_000;
const INITIAL_DEMAND_BACKOFF_MS = 50;
const MAX_DEMAND_BACKOFF_MS = 2_000;

/** A request for credits from another member, for one team. */
export interface PeerDemand {
  /** Number of credits requested from this member. */
  readonly count: number;
  /** Credits that the other member holds, in use or free. */
  readonly holding: number;
  /** Credits that the other member could use now, for running and queued requests. */
  readonly need: number;
}

/** Credits to send to another member as soon as they become free here. */
interface Pledge {
  credits: number;
  readonly untilMs: number;
}

export class TeamAccount {
  /** Granted to this member, according to the log as far as this member has read it. */
  granted = 0;

  /** Credits received minus credits sent, over all channels without a final balance record. */
  net = 0;

  /** Reserved to be burnt; not available for work. */
  reservedForBurn = 0;

  /** Credits in use by running work. */
  running = 0;

  private demand = 0;

  private demandExpiresAtMs = 0;

  private nextDemandAtMs = 0;

  private demandBackoffMs = INITIAL_DEMAND_BACKOFF_MS;

  private demandRound = 0;

  private readonly pledges = new Map<MemberId, Pledge>();

  /** Credits that this member holds, in use or free, except those reserved for burning. */
  get holding(): number {
    return this.granted + this.net - this.reservedForBurn;
  }

  /** Credits of `holding` that are not in use by running work. */
  get free(): number {
    return this.holding - this.running;
  }

  /** Number of requests queued here that wait for a credit; 0 if the demand has expired. */
  shortage(nowMs: number): number {
    return nowMs < this.demandExpiresAtMs ? this.demand : 0;
  }

  /**
   * Sets the demand, which expires unless it is set again. A new demand, or one that has more than
   * doubled, resets the backoff.
   */
  setDemand(count: number, nowMs: number): void {
    if (this.shortage(nowMs) === 0 || count > 2 * this.demand) this.resetDemandBackoff(nowMs);
    this.demand = count;
    this.demandExpiresAtMs = nowMs + DEMAND_TTL_MS;
  }

  start(): void {
    this.running += 1;
    this.demand = Math.max(0, this.demand - 1);
  }

  /** Makes the next demand due at once and resets its backoff, e.g. after credits arrived. */
  resetDemandBackoff(nowMs: number): void {
    this.demandBackoffMs = INITIAL_DEMAND_BACKOFF_MS;
    this.nextDemandAtMs = nowMs;
    this.demandRound = 0;
  }

  /**
   * Returns how many credits to ask of each of `peerCount` peers now, or 0 if no demand is due. The
   * first round asks each for an equal share of the shortage, and every further round for twice as
   * much as the one before, at most the whole shortage. The backoff between rounds doubles, up to a
   * maximum, until credits arrive.
   */
  dueDemand(peerCount: number, nowMs: number): number {
    const shortage = this.shortage(nowMs);
    if (shortage === 0 || peerCount === 0 || nowMs < this.nextDemandAtMs) return 0;
    const count = Math.min(shortage, Math.ceil((shortage * 2 ** this.demandRound) / peerCount));
    this.demandRound += 1;
    this.nextDemandAtMs = nowMs + this.demandBackoffMs;
    this.demandBackoffMs = Math.min(MAX_DEMAND_BACKOFF_MS, this.demandBackoffMs * 2);
    return count;
  }

  /**
   * Returns how many credits to give to a peer now: those that are free and not needed for the
   * local queue. If there are none, credits are pledged to the peer instead, so that they follow
   * once work ends here: enough to make both holdings proportional to the needs, and at least one
   * for a peer that holds none.
   */
  answerDemand(memberId: MemberId, demand: PeerDemand, nowMs: number): number {
    const shortage = this.shortage(nowMs);
    const surplus = Math.max(0, this.free - shortage);
    const sendable = Math.min(surplus, demand.count);
    if (sendable > 0 || demand.count === 0) return sendable;
    const need = this.running + shortage;
    const excess = Math.floor(
      (this.holding * demand.need - demand.holding * need) / Math.max(1, need + demand.need),
    );
    const minimum = demand.holding === 0 && this.holding > 0 ? 1 : 0;
    const credits = Math.min(demand.count, Math.max(excess, minimum));
    if (credits > 0) this.pledges.set(memberId, { credits, untilMs: nowMs + PLEDGE_TTL_MS });
    return 0;
  }

  get hasPledges(): boolean {
    return this.pledges.size > 0;
  }

  /** Consumes one credit of the first valid pledge if a credit is free; returns the recipient. */
  takeNextPledge(nowMs: number): MemberId | undefined {
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
