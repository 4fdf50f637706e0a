/**
 * Summaries of all entries merged over time: minutes for the short windows, hours for the long
 * ones, so that memory depends on services and not on traffic. A summary counts once, however
 * often the log holds it.
 */
import { type ServiceId, type TeamId } from '@acaciadock/core';
import {
  type BurnCause,
  type BurnSummary,
  type ServiceTally,
  type TeamTally,
} from './BurnSummary.js';
import { CauseCounter } from './CauseCounter.js';

export const MINUTE_MS = 60_000;
export const HOUR_MS = 60 * MINUTE_MS;
const KEPT_MINUTES_MS = 6 * HOUR_MS + MINUTE_MS;
const KEPT_HOURS_MS = 73 * HOUR_MS;
const MOST_CAUSES_PER_HOUR = 50;

export interface ServiceCounts {
  readonly total: number;
  readonly bad: number;
  readonly slow: number;
}

export interface ServicePoint extends ServiceCounts {
  readonly startMs: number;
}

const NO_COUNTS: ServiceCounts = { total: 0, bad: 0, slow: 0 };

function sum(a: ServiceCounts, b: ServiceCounts): ServiceCounts {
  return { total: a.total + b.total, bad: a.bad + b.bad, slow: a.slow + b.slow };
}

type Buckets = Map<number, Map<ServiceId, ServiceCounts>>;

function addTo(
  buckets: Buckets,
  startMs: number,
  serviceId: ServiceId,
  counts: ServiceCounts,
): void {
  const bucket = buckets.get(startMs) ?? new Map<ServiceId, ServiceCounts>();
  bucket.set(serviceId, sum(bucket.get(serviceId) ?? NO_COUNTS, counts));
  buckets.set(startMs, bucket);
}

function expire(buckets: Map<number, unknown>, beforeMs: number): void {
  [...buckets.keys()]
    .filter((startMs) => startMs < beforeMs)
    .forEach((startMs) => buckets.delete(startMs));
}

export class BurnHistory {
  private readonly minutes: Buckets = new Map();

  private readonly hours: Buckets = new Map();

  private readonly causes = new Map<number, Map<ServiceId, CauseCounter>>();

  private readonly teamMinutes = new Map<number, Map<TeamId, TeamTally>>();

  private readonly lastSequence = new Map<string, number>();

  private newestMs = 0;

  /** Merges a summary; false if it was merged before. */
  add(summary: BurnSummary): boolean {
    const source = `${summary.entryId}\n${summary.incarnation}`;
    if (summary.sequence <= (this.lastSequence.get(source) ?? -1)) return false;
    this.lastSequence.set(source, summary.sequence);
    const { minuteStartMs } = summary;
    Object.entries(summary.services).forEach(([serviceId, tally]) => {
      this.addService(minuteStartMs, serviceId, tally);
    });
    this.addTeams(minuteStartMs, summary.teams);
    if (minuteStartMs > this.newestMs) this.advance(minuteStartMs);
    return true;
  }

  /** What a service did within the window that ends now. */
  service(serviceId: ServiceId, windowMs: number, nowMs: number): ServiceCounts {
    const buckets = windowMs <= 6 * HOUR_MS ? this.minutes : this.hours;
    const fromMs = nowMs - windowMs;
    return [...buckets]
      .filter(([startMs]) => startMs >= fromMs && startMs <= nowMs)
      .map(([, services]) => services.get(serviceId) ?? NO_COUNTS)
      .reduce(sum, NO_COUNTS);
  }

  /** The service's counts by the hour, oldest first. */
  hourly(serviceId: ServiceId): ServicePoint[] {
    return [...this.hours]
      .map(([startMs, services]) => ({ startMs, ...(services.get(serviceId) ?? NO_COUNTS) }))
      .sort((a, b) => a.startMs - b.startMs);
  }

  /** The most frequent reasons of bad requests within the window that ends now. */
  topCauses(serviceId: ServiceId, windowMs: number, nowMs: number, most: number): BurnCause[] {
    const merged = new CauseCounter(Number.POSITIVE_INFINITY);
    const fromMs = nowMs - windowMs - HOUR_MS;
    [...this.causes]
      .filter(([startMs]) => startMs >= fromMs)
      .flatMap(([, services]) => services.get(serviceId)?.top(MOST_CAUSES_PER_HOUR) ?? [])
      .forEach((cause) => merged.add(cause));
    return merged.top(most);
  }

  /** What each team did within the window that ends now, at most six hours. */
  teams(windowMs: number, nowMs: number): ReadonlyMap<TeamId, TeamTally> {
    const merged = new Map<TeamId, TeamTally>();
    const fromMs = nowMs - windowMs;
    [...this.teamMinutes]
      .filter(([startMs]) => startMs >= fromMs && startMs <= nowMs)
      .forEach(([, teams]) =>
        teams.forEach((tally, teamId) => BurnHistory.addTeam(merged, teamId, tally)),
      );
    return merged;
  }

  private addService(minuteStartMs: number, serviceId: ServiceId, tally: ServiceTally): void {
    const hourStartMs = minuteStartMs - (minuteStartMs % HOUR_MS);
    const { total, bad, slow } = tally;
    addTo(this.minutes, minuteStartMs, serviceId, { total, bad, slow });
    addTo(this.hours, hourStartMs, serviceId, { total, bad, slow });
    const hour = this.causes.get(hourStartMs) ?? new Map<ServiceId, CauseCounter>();
    const counter = hour.get(serviceId) ?? new CauseCounter(MOST_CAUSES_PER_HOUR);
    tally.causes.forEach((cause) => counter.add(cause));
    hour.set(serviceId, counter);
    this.causes.set(hourStartMs, hour);
  }

  private addTeams(minuteStartMs: number, teams: BurnSummary['teams']): void {
    const bucket = this.teamMinutes.get(minuteStartMs) ?? new Map<TeamId, TeamTally>();
    Object.entries(teams).forEach(([teamId, tally]) => BurnHistory.addTeam(bucket, teamId, tally));
    this.teamMinutes.set(minuteStartMs, bucket);
  }

  private static addTeam(into: Map<TeamId, TeamTally>, teamId: TeamId, tally: TeamTally): void {
    const known = into.get(teamId) ?? { runMs: 0, answered: 0, refused: 0 };
    into.set(teamId, {
      runMs: known.runMs + tally.runMs,
      answered: known.answered + tally.answered,
      refused: known.refused + tally.refused,
    });
  }

  private advance(newestMs: number): void {
    this.newestMs = newestMs;
    expire(this.minutes, newestMs - KEPT_MINUTES_MS);
    expire(this.teamMinutes, newestMs - KEPT_MINUTES_MS);
    expire(this.hours, newestMs - KEPT_HOURS_MS);
    expire(this.causes, newestMs - KEPT_HOURS_MS);
  }
}
