/** Measures how busy the event loop of this process is, so that work that can wait is put together. */
import { type Clock } from '@acaciadock/core';

/** Time over which the share is averaged, in milliseconds. */
const WINDOW_MS = 250;

export class LoadMeter {
  private share = 0;

  private updatedMs: number;

  private updatedBusyMs: number;

  /** `busyMs` is the total time that the event loop was busy; undefined if that is unknown. */
  constructor(
    private readonly clock: Clock,
    private readonly busyMs: (() => number) | undefined,
  ) {
    this.updatedMs = clock.monotonicMs();
    this.updatedBusyMs = busyMs?.() ?? 0;
  }

  /** Share of the recent time in which the event loop was busy, 0 to 1; 0 if that is unknown. */
  get busyShare(): number {
    return this.share;
  }

  /** To be called a few times in each window. */
  update(): void {
    if (!this.busyMs) return;
    const nowMs = this.clock.monotonicMs();
    const elapsedMs = nowMs - this.updatedMs;
    if (elapsedMs <= 0) return;
    const totalMs = this.busyMs();
    const recent = Math.min(1, Math.max(0, (totalMs - this.updatedBusyMs) / elapsedMs));
    this.share += (recent - this.share) * Math.min(1, elapsedMs / WINDOW_MS);
    this.updatedMs = nowMs;
    this.updatedBusyMs = totalMs;
  }
}
