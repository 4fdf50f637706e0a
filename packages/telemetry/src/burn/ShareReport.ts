/** Each team's part of the work that ran, against its share among the teams that had work. */
import { type TeamId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { type BurnHistory, HOUR_MS } from './BurnHistory.js';

const SHARE_WINDOW_MS = HOUR_MS;

export interface TeamShare {
  readonly teamId: TeamId;
  readonly share: number;
  readonly limit: number;
  /** The team's portion by its share among the teams with work in the window. */
  readonly portion: number;
  /** The part of the run time that it got. */
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
  const shares = active.reduce((total, [, team]) => total + team.share, 0);
  const runs = active.reduce((total, [teamId]) => total + (tallies.get(teamId)?.runMs ?? 0), 0);
  const teams = active.map(([teamId, team]) => {
    const { runMs = 0, answered = 0, refused = 0 } = tallies.get(teamId) ?? {};
    return {
      teamId,
      share: team.share,
      limit: team.limit,
      portion: team.share / shares,
      got: runs === 0 ? 0 : runMs / runs,
      runMs,
      answered,
      refused,
    };
  });
  return { madeAtMs: nowMs, windowMs: SHARE_WINDOW_MS, teams };
}
