/** Virtual time for tests and benchmarks: a clock that moves only when `advance` is called. */
import { Clock } from './Clock.js';
import { type IDisposable, toDisposable } from './Disposable.js';

interface Timer {
  readonly sequence: number;
  dueMs: number;
  readonly periodMs: number | undefined;
  readonly action: () => void;
}

export class ManualClock extends Clock {
  private elapsedMs = 0;

  private nextSequence = 0;

  private timers: Timer[] = [];

  constructor(private readonly startUnixMs = 1_800_000_000_000) {
    super();
  }

  override unixMs(): number {
    return this.startUnixMs + this.elapsedMs;
  }

  override monotonicMs(): number {
    return this.elapsedMs;
  }

  override after(delayMs: number, action: () => void): IDisposable {
    return this.add(delayMs, undefined, action);
  }

  override every(periodMs: number, action: () => void): IDisposable {
    return this.add(periodMs, periodMs, action);
  }

  /**
   * Moves time forward by `durationMs` and runs the timers that become due, in order of due time.
   */
  advance(durationMs: number): void {
    const untilMs = this.elapsedMs + durationMs;
    for (let timer = this.nextDue(untilMs); timer; timer = this.nextDue(untilMs)) {
      this.elapsedMs = Math.max(this.elapsedMs, timer.dueMs);
      this.run(timer);
    }
    this.elapsedMs = untilMs;
  }

  private add(delayMs: number, periodMs: number | undefined, action: () => void): IDisposable {
    const dueMs = this.elapsedMs + Math.max(0, delayMs);
    const timer: Timer = { sequence: this.nextSequence, dueMs, periodMs, action };
    this.nextSequence += 1;
    this.timers.push(timer);
    return toDisposable(() => this.remove(timer));
  }

  private remove(timer: Timer): void {
    this.timers = this.timers.filter((other) => other !== timer);
  }

  private nextDue(untilMs: number): Timer | undefined {
    return this.timers
      .filter((timer) => timer.dueMs <= untilMs)
      .sort((a, b) => a.dueMs - b.dueMs || a.sequence - b.sequence)[0];
  }

  private run(timer: Timer): void {
    if (timer.periodMs === undefined) this.remove(timer);
    else Object.assign(timer, { dueMs: timer.dueMs + timer.periodMs });
    timer.action();
  }
}
