/**
 * Paces the passes over waiting work. It answers the load of a backlog: a pass costs more the more
 * work waits, and events that ask for one come hundreds of times a second. Without a pause in
 * proportion, passes take the processor time that accepting, journaling and ordering need, and every
 * caller's answer is late just after a change of owner, when the backlog is largest.
 */

/** Delay that batches several changes into one pass, in milliseconds. */
const MIN_DELAY_MS = 2;

/** Longest time that a free place stays unused, in milliseconds: a tenth of a short task. */
const MAX_DELAY_MS = 60;

/** A pass is followed by a pause of this many times its duration. */
const PAUSE_FACTOR = 4;

export class PassPacer {
  private pausedUntilMs = -Infinity;

  /** Records a pass by its start and its end on the monotonic clock. */
  record(startedMs: number, endedMs: number): void {
    const pauseMs = Math.min((endedMs - startedMs) * PAUSE_FACTOR, MAX_DELAY_MS);
    this.pausedUntilMs = endedMs + pauseMs;
  }

  /** Delay until the next pass, in milliseconds. */
  delayMs(nowMs: number): number {
    return Math.max(MIN_DELAY_MS, this.pausedUntilMs - nowMs);
  }
}
