/**
 * The credits that passed between this member and another since both are members. Both directions
 * are totals that only grow (the transfer matrix of the Bounded Counter, Balegas et al., 2015), so
 * that a message lost, doubled, late or out of order never makes a credit.
 */
import { type TeamId } from '@acaciadock/core';
import { type CreditTotal } from '@acaciadock/peers';

const FIRST_REPEAT_MS = 200;
const MOST_REPEAT_MS = 2_000;

export class CreditChannel {
  private readonly sent = new Map<TeamId, number>();

  private readonly received = new Map<TeamId, number>();

  /** Teams of which the other has not confirmed the latest total. */
  private readonly unconfirmed = new Set<TeamId>();

  private readonly toConfirm = new Set<TeamId>();

  private repeatMs = FIRST_REPEAT_MS;

  private sendAtMs = 0;

  /** Set when the roster has closed the other member: from then on nothing passes. */
  closedAtMs: number | undefined;

  get hasUnconfirmed(): boolean {
    return this.unconfirmed.size > 0;
  }

  send(teamId: TeamId, credits: number): void {
    this.sent.set(teamId, (this.sent.get(teamId) ?? 0) + credits);
    this.unconfirmed.add(teamId);
    this.repeatMs = FIRST_REPEAT_MS;
    this.sendAtMs = 0;
  }

  /** Takes a total from the other; tells how many credits are new. */
  receive({ teamId, total }: CreditTotal): number {
    const before = this.received.get(teamId) ?? 0;
    this.toConfirm.add(teamId);
    if (total <= before) return 0;
    this.received.set(teamId, total);
    return total - before;
  }

  confirm({ teamId, total }: CreditTotal): void {
    if (total >= (this.sent.get(teamId) ?? 0)) this.unconfirmed.delete(teamId);
  }

  /** Totals to send now: at once when new, then again with growing pauses until confirmed. */
  dueTotals(nowMs: number): readonly CreditTotal[] {
    if (this.unconfirmed.size === 0 || nowMs < this.sendAtMs) return [];
    this.sendAtMs = nowMs + this.repeatMs;
    this.repeatMs = Math.min(MOST_REPEAT_MS, this.repeatMs * 2);
    return [...this.unconfirmed].map((teamId) => ({ teamId, total: this.sent.get(teamId) ?? 0 }));
  }

  takeConfirmations(): readonly CreditTotal[] {
    if (this.toConfirm.size === 0) return [];
    const totals = [...this.toConfirm].map((teamId) => ({
      teamId,
      total: this.received.get(teamId) ?? 0,
    }));
    this.toConfirm.clear();
    return totals;
  }

  /** Received less sent, for each team where that is not zero. */
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
