/** A virtual clock for many timers, kept in a heap; `ManualClock` scans all of them at each step. */
import { Clock, type IDisposable, toDisposable } from '@acaciadock/core';
import { IndexedHeap } from '@acaciadock/scheduling';

interface Timer {
  readonly sequence: number;
  dueMs: number;
  readonly action: () => void;
}

/** Added per timer to its due time, so that timers due at the same time run in the order set. */
const TIE_BREAK_MS = 1e-9;
const START_UNIX_MS = 1_800_000_000_000;

export class VirtualClock extends Clock {
  private nowMs = 0;

  private nextSequence = 0;

  private readonly timers = new IndexedHeap<Timer>(
    ({ dueMs, sequence }) => dueMs + sequence * TIE_BREAK_MS,
  );

  override unixMs(): number {
    return START_UNIX_MS + this.nowMs;
  }

  override monotonicMs(): number {
    return this.nowMs;
  }

  override after(delayMs: number, action: () => void): IDisposable {
    const timer = { sequence: this.nextSequence, dueMs: this.nowMs + Math.max(0, delayMs), action };
    this.nextSequence += 1;
    this.timers.update(timer);
    return toDisposable(() => this.timers.remove(timer));
  }

  override every(periodMs: number, action: () => void): IDisposable {
    // A placeholder, which `scheduleNext` replaces immediately.
    let next = this.after(periodMs, () => undefined);
    let ended = false;
    const scheduleNext = (): void => {
      next.dispose();
      next = this.after(periodMs, () => {
        action();
        if (!ended) scheduleNext();
      });
    };
    scheduleNext();
    return toDisposable(() => {
      ended = true;
      next.dispose();
    });
  }

  /** Runs the next timer due by `untilMs`. If there is none, sets the time to it; returns false. */
  step(untilMs: number): boolean {
    const timer = this.timers.top();
    if (!timer || timer.dueMs > untilMs) {
      this.nowMs = Math.max(this.nowMs, untilMs);
      return false;
    }
    this.timers.remove(timer);
    this.nowMs = Math.max(this.nowMs, timer.dueMs);
    timer.action();
    return true;
  }

  runUntil(untilMs: number): void {
    while (this.step(untilMs)) {
      // All work is done in `step`.
    }
  }
}
