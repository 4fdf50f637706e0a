/**
 * Estimates how long the store takes to answer a call, to tell a lost answer from a slow one. It
 * smooths the mean and the deviation of the answer times, like the retransmission timer of TCP
 * (RFC 6298).
 */

/** Weight of a new answer time in the mean. */
const MEAN_GAIN = 1 / 8;

/** Weight of a new difference from the mean in the deviation. */
const DEVIATION_GAIN = 1 / 4;

/** An answer is overdue once it is later than the mean by this many deviations. */
const DEVIATIONS = 4;

/** Assumed before the first answer, in milliseconds. */
const INITIAL_OVERDUE_MS = 120;

/** Covers pauses of this process and of the store, in milliseconds. */
const MIN_OVERDUE_MS = 40;

const MAX_OVERDUE_MS = 1_000;

/** A thin link transfers about this much in a millisecond, in bytes. */
const BYTES_PER_MS = 1_000;

export class AnswerTimeEstimate {
  private meanMs: number | undefined;

  private deviationMs = 0;

  /** Records how long the answer to a call took. */
  record(answerMs: number): void {
    if (this.meanMs === undefined) {
      this.meanMs = answerMs;
      this.deviationMs = answerMs / 2;
      return;
    }
    const differenceMs = Math.abs(answerMs - this.meanMs);
    this.deviationMs += DEVIATION_GAIN * (differenceMs - this.deviationMs);
    this.meanMs += MEAN_GAIN * (answerMs - this.meanMs);
  }

  /** Time after which the answer to a call that sends this much is overdue, in milliseconds. */
  overdueMs(sentBytes: number): number {
    const transferMs = sentBytes / BYTES_PER_MS;
    if (this.meanMs === undefined) return INITIAL_OVERDUE_MS + transferMs;
    const expectedMs = this.meanMs + DEVIATIONS * this.deviationMs;
    return Math.min(Math.max(expectedMs, MIN_OVERDUE_MS), MAX_OVERDUE_MS) + transferMs;
  }
}
