/**
 * Credits transferred between this member and one other member, as a cumulative total for each
 * direction. The totals only grow (the transfer matrix of the Bounded Counter, Balegas et al.,
 * 2015), so lost, duplicated, delayed or reordered messages can never create a credit.
 */
import { type TeamId } from '@acaciadock/core';
import { type CreditTotal } from '@acaciadock/peers';

const INITIAL_RETRANSMIT_MS = 200;
const MAX_RETRANSMIT_MS = 2_000;

export class CreditChannel {
  private readonly sent = new Map<TeamId, number>();

  private readonly received = new Map<TeamId, number>();

  /** Teams whose latest total the other member has not acknowledged. */
  private readonly unacknowledged = new Set<TeamId>();

  private readonly toAcknowledge = new Set<TeamId>();

  private retransmitMs = INITIAL_RETRANSMIT_MS;

  private nextSendAtMs = 0;

  /** Set once the roster has closed the other member; no transfers are possible afterwards. */
  closedAtMs: number | undefined;

  get hasUnacknowledged(): boolean {
    return this.unacknowledged.size > 0;
  }

  send(teamId: TeamId, credits: number): void {
    this.sent.set(teamId, (this.sent.get(teamId) ?? 0) + credits);
    this.unacknowledged.add(teamId);
    this.retransmitMs = INITIAL_RETRANSMIT_MS;
    this.nextSendAtMs = 0;
  }

  /** Applies a total received from the other member; returns the number of new credits. */
  receive({ teamId, total }: CreditTotal): number {
    const previousTotal = this.received.get(teamId) ?? 0;
    this.toAcknowledge.add(teamId);
    if (total <= previousTotal) return 0;
    this.received.set(teamId, total);
    return total - previousTotal;
  }

  acknowledge({ teamId, total }: CreditTotal): void {
    if (total >= (this.sent.get(teamId) ?? 0)) this.unacknowledged.delete(teamId);
  }

  /** Totals to send now: first at once, then with exponential backoff until acknowledged. */
  dueTotals(nowMs: number): readonly CreditTotal[] {
    if (this.unacknowledged.size === 0 || nowMs < this.nextSendAtMs) return [];
    this.nextSendAtMs = nowMs + this.retransmitMs;
    this.retransmitMs = Math.min(MAX_RETRANSMIT_MS, this.retransmitMs * 2);
    return [...this.unacknowledged].map((teamId) => ({
      teamId,
      total: this.sent.get(teamId) ?? 0,
    }));
  }

  takeAcknowledgements(): readonly CreditTotal[] {
    if (this.toAcknowledge.size === 0) return [];
    const totals = [...this.toAcknowledge].map((teamId) => ({
      teamId,
      total: this.received.get(teamId) ?? 0,
    }));
    this.toAcknowledge.clear();
    return totals;
  }

  /** Credits received minus credits sent, for each team where the difference is not zero. */
  balances(): readonly { readonly teamId: TeamId; readonly net: number }[] {
    const teamIds = new Set([...this.sent.keys(), ...this.received.keys()]);
    return [...teamIds]
      .map((teamId) => ({
        teamId,
        net: (this.received.get(teamId) ?? 0) - (this.sent.get(teamId) ?? 0),
      }))
      .filter(({ net }) => net !== 0);
  }
}
