/**
 * Detects jobs that a team submits beyond its share. The weight of a team is the number of jobs per
 * second that it is entitled to under full load. Jobs beyond that wait behind the entitled jobs of
 * all teams, so a team that sends many times its usual load does not delay the others.
 */

const WINDOW_MS = 1_000;

export class ShareMeter {
  private readonly recentMsByTeam = new Map<string, number[]>();

  /** Records an accepted job of the team and returns whether it exceeds the team's share. */
  note(teamId: string, weight: number, nowMs: number): boolean {
    const isBeyond = this.isBeyond(teamId, weight, nowMs);
    // Jobs beyond the share do not count against it.
    if (!isBeyond) this.recentMsByTeam.set(teamId, [...this.recentOf(teamId, nowMs), nowMs]);
    return isBeyond;
  }

  /** Whether another job of the team exceeds the team's share now. */
  isBeyond(teamId: string, weight: number, nowMs: number): boolean {
    return this.recentOf(teamId, nowMs).length >= weight;
  }

  private recentOf(teamId: string, nowMs: number): number[] {
    return (this.recentMsByTeam.get(teamId) ?? []).filter((atMs) => nowMs - atMs < WINDOW_MS);
  }
}
