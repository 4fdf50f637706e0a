/**
 * Items that become due after a delay. Keeps one first-in first-out queue for each delay, so that
 * the cost of adding and taking an item does not depend on the number of items. Items cannot be
 * removed early: the owner ignores those that are obsolete when they become due.
 */
import { type Clock } from '@acaciadock/core';

interface DelayedItem<T> {
  readonly item: T;
  readonly dueMs: number;
}

interface DelayLevel<T> {
  readonly waitMs: number;
  queue: DelayedItem<T>[];
  head: number;
}

const COMPACT_AFTER_ITEMS = 1_024;

export class DelayQueue<T> {
  private readonly levels: DelayLevel<T>[];

  constructor(
    waitsMs: readonly number[],
    private readonly clock: Clock,
  ) {
    this.levels = waitsMs.map((waitMs) => ({ waitMs, queue: [], head: 0 }));
  }

  /** Number of queued items, obsolete ones included. */
  get size(): number {
    return this.levels.reduce((sum, { queue, head }) => sum + queue.length - head, 0);
  }

  /** Adds an item. `attempts` is the index of the delay; larger values use the last delay. */
  add(item: T, attempts: number): void {
    const level = this.levels[Math.min(attempts, this.levels.length - 1)];
    level?.queue.push({ item, dueMs: this.clock.monotonicMs() + level.waitMs });
  }

  /** Removes and returns at most `maxItems` items that are due. */
  takeDue(maxItems: number): T[] {
    const nowMs = this.clock.monotonicMs();
    const taken: T[] = [];
    this.levels.forEach((level) => DelayQueue.takeFrom(level, nowMs, maxItems, taken));
    return taken;
  }

  private static takeFrom<T>(
    level: DelayLevel<T>,
    nowMs: number,
    maxItems: number,
    taken: T[],
  ): void {
    while (taken.length < maxItems) {
      const next = level.queue[level.head];
      if (!next || next.dueMs > nowMs) break;
      Object.assign(level, { head: level.head + 1 });
      taken.push(next.item);
    }
    if (level.head < COMPACT_AFTER_ITEMS && level.head < level.queue.length) return;
    Object.assign(level, { queue: level.queue.slice(level.head), head: 0 });
  }
}
