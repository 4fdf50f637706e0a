/**
 * Detects jobs that a team submits beyond its share. The weight of a team is the number of jobs per
 * second that it is entitled to under full load. Jobs beyond that wait behind the entitled jobs of
 * all teams, so a team that sends many times its usual load does not delay the others.
 */

const WINDOW_MS = 1_000;

export class ShareMeter {
  private readonly recentMsByTeam = new Map<string, number[]>();

  /** Records a job of the team and returns whether it exceeds the team's share. */
  note(teamId: string, weight: number, nowMs: number): boolean {
    const recent = (this.recentMsByTeam.get(teamId) ?? []).filter(
      (atMs) => nowMs - atMs < WINDOW_MS,
    );
    const isBeyond = recent.length >= weight;
    // Jobs beyond the share do not count against it.
    if (!isBeyond) recent.push(nowMs);
    this.recentMsByTeam.set(teamId, recent);
    return isBeyond;
  }
}
