/** Compares each team's fraction of the run time with its share among the teams that had work. */
import { type TeamId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { type BurnHistory, HOUR_MS } from './BurnHistory.js';

const SHARE_WINDOW_MS = HOUR_MS;

export interface TeamShare {
  readonly teamId: TeamId;
  readonly share: number;
  readonly limit: number;
  /** The fraction that the team's share entitles it to, among the teams with work in the window. */
  readonly portion: number;
  /** The fraction of the total run time that the team actually used. */
  readonly got: number;
  readonly runMs: number;
  readonly answered: number;
  readonly refused: number;
}

export interface ShareReport {
  readonly madeAtMs: number;
  readonly windowMs: number;
  readonly teams: readonly TeamShare[];
}

export function buildShareReport(
  document: ConfigDocument,
  history: BurnHistory,
  nowMs: number,
): ShareReport {
  const tallies = history.teams(SHARE_WINDOW_MS, nowMs);
  const active = Object.entries(document.teams).filter(([teamId]) => tallies.has(teamId));
  const totalShares = active.reduce((total, [, team]) => total + team.share, 0);
  const runs = active.reduce((total, [teamId]) => total + (tallies.get(teamId)?.runMs ?? 0), 0);
  const teams = active.map(([teamId, team]) => {
    const { runMs = 0, answered = 0, refused = 0 } = tallies.get(teamId) ?? {};
    return {
      teamId,
      share: team.share,
      limit: team.limit,
      portion: team.share / totalShares,
      got: runs === 0 ? 0 : runMs / runs,
      runMs,
      answered,
      refused,
    };
  });
  return { madeAtMs: nowMs, windowMs: SHARE_WINDOW_MS, teams };
}
