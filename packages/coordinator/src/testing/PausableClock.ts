/**
 * Clock of one simulated process. While the process is suspended, timers are deferred until it
 * resumes, and monotonic time stops, as it does when the whole machine is suspended; it goes on when
 * only the process is stopped. After the process is killed, no timer fires.
 */
import { Clock, type IDisposable, type ManualClock, toDisposable } from '@acaciadock/core';

export class PausableClock extends Clock {
  private pausedSinceMs: number | undefined;

  private pausedMs = 0;

  private held: (() => void)[] = [];

  private isDead = false;

  private keepsTime = false;

  constructor(private readonly base: ManualClock) {
    super();
  }

  get isPaused(): boolean {
    return this.pausedSinceMs !== undefined;
  }

  override unixMs(): number {
    return this.base.unixMs();
  }

  override monotonicMs(): number {
    const stoppedMs = this.keepsTime ? undefined : this.pausedSinceMs;
    return (stoppedMs ?? this.base.monotonicMs()) - this.pausedMs;
  }

  override after(delayMs: number, action: () => void): IDisposable {
    let cancelled = false;
    const timer = this.base.after(delayMs, () => this.fire(() => cancelled || action()));
    return toDisposable(() => {
      cancelled = true;
      timer.dispose();
    });
  }

  override every(periodMs: number, action: () => void): IDisposable {
    let isPending = false;
    return this.base.every(periodMs, () => {
      if (isPending) return;
      isPending = true;
      this.fire(() => {
        isPending = false;
        action();
      });
    });
  }

  /** `keepsTime` is whether monotonic time goes on. */
  pause(keepsTime = false): void {
    this.keepsTime = keepsTime;
    this.pausedSinceMs ??= this.base.monotonicMs();
  }

  resume(): void {
    if (this.pausedSinceMs === undefined) return;
    if (!this.keepsTime) this.pausedMs += this.base.monotonicMs() - this.pausedSinceMs;
    this.pausedSinceMs = undefined;
    this.held.splice(0).forEach((action) => action());
  }

  /** Kills the process: no pending or later action runs. */
  kill(): void {
    this.isDead = true;
    this.held = [];
  }

  /** Runs the action now, once the process resumes, or never if it is dead. */
  fire(action: () => void): void {
    if (this.isDead) return;
    if (this.isPaused) this.held.push(action);
    else action();
  }
}
