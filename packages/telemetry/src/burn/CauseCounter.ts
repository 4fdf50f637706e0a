/** Counts the reasons of bad requests and keeps the most frequent. */
import { type BurnCause } from './BurnSummary.js';

function identityOf(cause: BurnCause): string {
  return [cause.problemType, cause.teamId, cause.targetId, cause.zoneId].join('\n');
}

export class CauseCounter {
  private readonly causes = new Map<string, BurnCause>();

  /** `most` bounds how many different causes are told apart. */
  constructor(private readonly most: number) {}

  add(cause: BurnCause): void {
    const identity = identityOf(cause);
    const known = this.causes.get(identity);
    if (known) {
      this.causes.set(identity, { ...known, count: known.count + cause.count });
      return;
    }
    if (this.causes.size < this.most) this.causes.set(identity, cause);
  }

  /** The causes by falling count. */
  top(count: number): BurnCause[] {
    return [...this.causes.values()].sort((a, b) => b.count - a.count).slice(0, count);
  }
}
