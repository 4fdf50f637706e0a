/** Counts bad requests by cause and lists the most frequent causes. */
import { type BurnCause } from './BurnSummary.js';

function causeKey(cause: BurnCause): string {
  return [cause.problemType, cause.teamId, cause.targetId, cause.zoneId].join('\n');
}

export class CauseCounter {
  private readonly causes = new Map<string, BurnCause>();

  /** At most `maxCauses` distinct causes are counted; any further ones are ignored. */
  constructor(private readonly maxCauses: number) {}

  add(cause: BurnCause): void {
    const key = causeKey(cause);
    const known = this.causes.get(key);
    if (known) {
      this.causes.set(key, { ...known, count: known.count + cause.count });
      return;
    }
    if (this.causes.size < this.maxCauses) this.causes.set(key, cause);
  }

  /** Returns the most frequent causes, in descending order of their count. */
  top(count: number): BurnCause[] {
    return [...this.causes.values()].sort((a, b) => b.count - a.count).slice(0, count);
  }
}
