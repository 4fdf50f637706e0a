/** Computes the figures of the burst bench from the ends of its requests. */
import { type Urgency } from '@acaciadock/core';
import { build } from 'hdr-histogram-js';
import { BURST_MS, type BurstRun, CYCLE_MS, SHARES } from './BurstLoad.js';

/** Time from the start of a burst in which the queues are still filling; it is not counted. */
const FILL_MS = 1_000;
/** Time after the end of a burst for which every team still has a backlog. */
const BACKLOG_MS = 1_500;

export interface StartFigures {
  readonly count: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

export interface RefusalFigures {
  readonly count: number;
  /** Refusals of requests that had waited first. */
  readonly late: number;
  /** Waits of refused requests that were queued anyway, in ascending order. */
  readonly probeWaitsMs: readonly number[];
}

export function startsOf(runs: readonly BurstRun[], urgency: Urgency): StartFigures {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  let maxMs = 0;
  runs.forEach(({ ends }) =>
    ends.forEach(({ request, startedAtMs, arrivedAtMs, probe }) => {
      if (probe || request.urgency !== urgency || startedAtMs === undefined) return;
      histogram.recordValue(Math.round(startedAtMs - arrivedAtMs));
      maxMs = Math.max(maxMs, startedAtMs - arrivedAtMs);
    }),
  );
  return { count: histogram.totalCount, p99Ms: histogram.getValueAtPercentile(99), maxMs };
}

export function refusalsOf(runs: readonly BurstRun[], urgency: Urgency): RefusalFigures {
  const ofUrgency = runs
    .flatMap(({ ends }) => ends)
    .filter(({ request }) => request.urgency === urgency);
  const refused = ofUrgency.filter(({ refusal, probe }) => refusal && !probe);
  const probeWaitsMs = ofUrgency
    .filter(({ probe }) => probe)
    .map(({ startedAtMs, arrivedAtMs }) => (startedAtMs ?? Number.POSITIVE_INFINITY) - arrivedAtMs)
    .sort((a, b) => a - b);
  return {
    count: refused.length,
    late: refused.filter(({ endedAtMs, arrivedAtMs }) => endedAtMs > arrivedAtMs).length,
    probeWaitsMs,
  };
}

/**
 * The fraction of the refused requests queued anyway that started later than `limitMs`, which shows
 * that their refusal was justified; 1 if there were none.
 */
export function correctRefusalRatio({ probeWaitsMs }: RefusalFigures, limitMs: number): number {
  if (probeWaitsMs.length === 0) return 1;
  return probeWaitsMs.filter((waitMs) => waitMs > limitMs).length / probeWaitsMs.length;
}

/**
 * Mean over all teams of the relative deviation of a team's slot time in bursts from its portion.
 * In a burst, every team requests more than its portion.
 */
export function burstShareError(runs: readonly BurstRun[]): number {
  const held = new Map<string, number>();
  let total = 0;
  runs.forEach(({ ends, firstBurstAtMs }) =>
    ends.forEach(({ request, startedAtMs, endedAtMs }) => {
      if (startedAtMs === undefined) return;
      const cycle = Math.floor((startedAtMs - firstBurstAtMs) / CYCLE_MS);
      const burstAtMs = firstBurstAtMs + cycle * CYCLE_MS;
      const fromMs = Math.max(startedAtMs, burstAtMs + FILL_MS);
      const untilMs = Math.min(endedAtMs, burstAtMs + BURST_MS + BACKLOG_MS);
      const heldMs = Math.max(0, untilMs - fromMs);
      held.set(request.teamId, (held.get(request.teamId) ?? 0) + heldMs);
      total += heldMs;
    }),
  );
  const shares = Object.entries(SHARES);
  const sum = shares.reduce((all, [, share]) => all + share, 0);
  const errors = shares.map(([teamId, share]) =>
    Math.abs((held.get(teamId) ?? 0) / total / (share / sum) - 1),
  );
  return errors.reduce((all, error) => all + error, 0) / errors.length;
}
