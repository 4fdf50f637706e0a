/**
 * Tells which jobs a team hands in beyond its share. A team's weight is the number of jobs a
 * second that it is owed when all is full; what it sends beyond that waits behind what the others
 * are owed. Answers the load in which one team sends many times its usual.
 */

const WINDOW_MS = 1_000;

export class ShareMeter {
  private readonly recentMs = new Map<string, number[]>();

  /** Notes a job of the team and tells whether it is beyond the team's share. */
  note(teamId: string, weight: number, nowMs: number): boolean {
    const recent = (this.recentMs.get(teamId) ?? []).filter((atMs) => nowMs - atMs < WINDOW_MS);
    const isBeyond = recent.length >= weight;
    // What is beyond the share does not use it up.
    if (!isBeyond) recent.push(nowMs);
    this.recentMs.set(teamId, recent);
    return isBeyond;
  }
}
