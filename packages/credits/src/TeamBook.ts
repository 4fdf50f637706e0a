/**
 * What the log says of one team's credits. The granted amounts, the debt aside, sum to the limit:
 * `granted + unassigned = limit + debt` after every record.
 */
import { type MemberId } from '@acaciadock/membership';

export class TeamBook {
  limit = 0;

  /** Version of the configuration that the limit is from. */
  limitVersion = -1;

  /** Credits that are still to be burnt after the limit was lowered. */
  debt = 0;

  /** Credits for which there was no active member to take them. */
  unassigned = 0;

  readonly granted = new Map<MemberId, number>();

  grantedTo(memberId: MemberId): number {
    return this.granted.get(memberId) ?? 0;
  }

  add(memberId: MemberId, credits: number): void {
    const sum = this.grantedTo(memberId) + credits;
    if (sum === 0) this.granted.delete(memberId);
    else this.granted.set(memberId, sum);
  }

  /** Puts a newer limit in force: what is new is shared out, what is too much becomes debt. */
  setLimit(limit: number, configVersion: number, active: readonly MemberId[]): void {
    if (configVersion <= this.limitVersion) return;
    const raise = limit - this.limit;
    this.limit = limit;
    this.limitVersion = configVersion;
    if (raise >= 0) this.release(raise, active);
    else this.owe(-raise);
  }

  /** Takes credits that a member has put aside; those beyond the debt stay granted to it. */
  burn(memberId: MemberId, credits: number): void {
    const burnt = Math.min(credits, this.debt);
    this.debt -= burnt;
    this.add(memberId, -burnt);
  }

  /** Shares out credits that nobody holds: first against the debt, then in equal parts. */
  release(credits: number, active: readonly MemberId[]): void {
    const paid = Math.min(credits, this.debt);
    this.debt -= paid;
    const free = credits - paid;
    if (free === 0) return;
    if (active.length === 0) {
      this.unassigned += free;
      return;
    }
    const part = Math.floor(free / active.length);
    const extra = free % active.length;
    active.forEach((memberId, index) => this.add(memberId, part + (index < extra ? 1 : 0)));
  }

  /** Hands what had no taker to the first member that there is. */
  assign(active: readonly MemberId[]): void {
    const credits = this.unassigned;
    this.unassigned = 0;
    this.release(credits, active);
  }

  private owe(credits: number): void {
    const covered = Math.min(credits, this.unassigned);
    this.unassigned -= covered;
    this.debt += credits - covered;
  }
}
