/**
 * One team's credits as recorded in the log. After every record, the sum of the granted credits
 * satisfies `granted + unassigned = limit + debt`.
 */
import { type MemberId } from '@acaciadock/membership';

export class TeamBook {
  limit = 0;

  /** Configuration version that set the limit. */
  limitVersion = -1;

  /** Credits that still have to be burnt after the limit was lowered. */
  debt = 0;

  /** Credits that could not be granted because there was no active member. */
  unassigned = 0;

  /**
   * Credits that the log assigns to each member; unrelated to the grants of runs that homes issue.
   * Transfers between active members are not included, so the number may be negative for a member
   * that has passed on credits which it had received.
   */
  readonly granted = new Map<MemberId, number>();

  grantedTo(memberId: MemberId): number {
    return this.granted.get(memberId) ?? 0;
  }

  add(memberId: MemberId, credits: number): void {
    const sum = this.grantedTo(memberId) + credits;
    if (sum === 0) this.granted.delete(memberId);
    else this.granted.set(memberId, sum);
  }

  /** Applies a newer limit: additional credits are distributed, excess credits become debt. */
  setLimit(limit: number, configVersion: number, active: readonly MemberId[]): void {
    if (configVersion <= this.limitVersion) return;
    const increase = limit - this.limit;
    this.limit = limit;
    this.limitVersion = configVersion;
    if (increase >= 0) this.distribute(increase, active);
    else this.addDebt(-increase);
  }

  /** Burns credits that a member has reserved; any beyond the debt stay granted to it. */
  burn(memberId: MemberId, credits: number): void {
    const burnt = Math.min(credits, this.debt);
    this.debt -= burnt;
    this.add(memberId, -burnt);
  }

  /** Uses credits that no member holds to pay off the debt, and grants the rest in equal shares. */
  distribute(credits: number, active: readonly MemberId[]): void {
    const repaid = Math.min(credits, this.debt);
    this.debt -= repaid;
    const free = credits - repaid;
    if (free === 0) return;
    if (active.length === 0) {
      this.unassigned += free;
      return;
    }
    const part = Math.floor(free / active.length);
    const remainder = free % active.length;
    active.forEach((memberId, index) => this.add(memberId, part + (index < remainder ? 1 : 0)));
  }

  /** Distributes the unassigned credits among the active members, if there are any. */
  distributeUnassigned(active: readonly MemberId[]): void {
    const credits = this.unassigned;
    this.unassigned = 0;
    this.distribute(credits, active);
  }

  private addDebt(credits: number): void {
    const deducted = Math.min(credits, this.unassigned);
    this.unassigned -= deducted;
    this.debt += credits - deducted;
  }
}
