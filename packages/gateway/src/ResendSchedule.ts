/**
 * When to send something again: first-in first-out queues, one for each waiting time, so that
 * adding and taking cost the same however much waits. What is settled meanwhile is not taken out;
 * the owner skips it when it falls due.
 */
import { type Clock } from '@acaciadock/core';

interface Due<T> {
  readonly item: T;
  readonly dueMs: number;
}

interface Level<T> {
  readonly waitMs: number;
  queue: Due<T>[];
  head: number;
}

const COMPACT_AFTER_ITEMS = 1_024;

export class ResendSchedule<T> {
  private readonly levels: Level<T>[];

  constructor(
    waitsMs: readonly number[],
    private readonly clock: Clock,
  ) {
    this.levels = waitsMs.map((waitMs) => ({ waitMs, queue: [], head: 0 }));
  }

  /** Items that wait, settled ones included. */
  get size(): number {
    return this.levels.reduce((sum, { queue, head }) => sum + queue.length - head, 0);
  }

  /** Adds an item; `tries` picks the waiting time, the last one for all beyond. */
  add(item: T, tries: number): void {
    const level = this.levels[Math.min(tries, this.levels.length - 1)];
    level?.queue.push({ item, dueMs: this.clock.monotonicMs() + level.waitMs });
  }

  /** Takes at most `mostItems` items that are due. */
  takeDue(mostItems: number): T[] {
    const nowMs = this.clock.monotonicMs();
    const taken: T[] = [];
    this.levels.forEach((level) => ResendSchedule.takeFrom(level, nowMs, mostItems, taken));
    return taken;
  }

  private static takeFrom<T>(level: Level<T>, nowMs: number, mostItems: number, taken: T[]): void {
    while (taken.length < mostItems) {
      const next = level.queue[level.head];
      if (!next || next.dueMs > nowMs) break;
      Object.assign(level, { head: level.head + 1 });
      taken.push(next.item);
    }
    if (level.head < COMPACT_AFTER_ITEMS && level.head < level.queue.length) return;
    Object.assign(level, { queue: level.queue.slice(level.head), head: 0 });
  }
}
