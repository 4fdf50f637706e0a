/**
 * Measures the time that the parts of a process take, so that an overloaded process shows what it
 * spends its time on. The time of a part that is measured within another one counts for the inner part
 * only, so the totals add up to the time of all parts.
 */
import { type Clock } from './Clock.js';

export interface WorkTotal {
  readonly part: string;
  readonly totalMs: number;
  readonly longestMs: number;
  readonly count: number;
}

interface MutableTotal {
  totalMs: number;
  longestMs: number;
  count: number;
}

export class WorkMeter {
  private totals = new Map<string, MutableTotal>();

  /** Time that was measured within the parts under way, by nesting depth, in milliseconds. */
  private readonly innerMs: number[] = [];

  constructor(private readonly clock: Clock) {}

  /** Runs the work and counts its time for the part; of asynchronous work, until its first wait. */
  measure<T>(part: string, work: () => T): T {
    const startedMs = this.clock.monotonicMs();
    this.innerMs.push(0);
    try {
      return work();
    } finally {
      const tookMs = this.clock.monotonicMs() - startedMs;
      const ownMs = tookMs - (this.innerMs.pop() ?? 0);
      const outer = this.innerMs.length - 1;
      if (outer >= 0) this.innerMs[outer] = (this.innerMs[outer] ?? 0) + tookMs;
      this.add(part, ownMs);
    }
  }

  /** The totals since the last call, the largest first. */
  take(): readonly WorkTotal[] {
    const totals = [...this.totals].map(([part, total]) => ({ part, ...total }));
    this.totals = new Map();
    return totals.sort((a, b) => b.totalMs - a.totalMs);
  }

  private add(part: string, ownMs: number): void {
    const total = this.totals.get(part) ?? { totalMs: 0, longestMs: 0, count: 0 };
    total.totalMs += ownMs;
    total.longestMs = Math.max(total.longestMs, ownMs);
    total.count += 1;
    this.totals.set(part, total);
  }
}
