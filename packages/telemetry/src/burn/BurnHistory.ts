/**
 * Merges the summaries of all entries into buckets of a minute for the short windows and of an hour
 * for the long ones, so that memory grows with the number of services and not with traffic. A
 * summary that the log holds more than once is counted once.
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
const MINUTES_RETENTION_MS = 6 * HOUR_MS + MINUTE_MS;
const HOURS_RETENTION_MS = 73 * HOUR_MS;
const MAX_CAUSES_PER_HOUR = 50;

export interface ServiceCounts {
  readonly total: number;
  readonly bad: number;
  readonly slow: number;
}

export interface ServicePoint extends ServiceCounts {
  readonly startMs: number;
}

const ZERO_COUNTS: ServiceCounts = { total: 0, bad: 0, slow: 0 };

function addCounts(a: ServiceCounts, b: ServiceCounts): ServiceCounts {
  return { total: a.total + b.total, bad: a.bad + b.bad, slow: a.slow + b.slow };
}

type Buckets = Map<number, Map<ServiceId, ServiceCounts>>;

function addToBucket(
  buckets: Buckets,
  startMs: number,
  serviceId: ServiceId,
  counts: ServiceCounts,
): void {
  const bucket = buckets.get(startMs) ?? new Map<ServiceId, ServiceCounts>();
  bucket.set(serviceId, addCounts(bucket.get(serviceId) ?? ZERO_COUNTS, counts));
  buckets.set(startMs, bucket);
}

function deleteBefore(buckets: Map<number, unknown>, beforeMs: number): void {
  [...buckets.keys()]
    .filter((startMs) => startMs < beforeMs)
    .forEach((startMs) => buckets.delete(startMs));
}

export class BurnHistory {
  private readonly minutes: Buckets = new Map();

  private readonly hours: Buckets = new Map();

  private readonly causes = new Map<number, Map<ServiceId, CauseCounter>>();

  private readonly teamMinutes = new Map<number, Map<TeamId, TeamTally>>();

  private readonly lastSequenceBySource = new Map<string, number>();

  private newestMinuteMs = 0;

  /** Merges a summary. Returns false if it was merged before. */
  add(summary: BurnSummary): boolean {
    const source = `${summary.entryId}\n${summary.incarnation}`;
    if (summary.sequence <= (this.lastSequenceBySource.get(source) ?? -1)) return false;
    this.lastSequenceBySource.set(source, summary.sequence);
    const { minuteStartMs } = summary;
    Object.entries(summary.services).forEach(([serviceId, tally]) => {
      this.addService(minuteStartMs, serviceId, tally);
    });
    this.addTeams(minuteStartMs, summary.teams);
    if (minuteStartMs > this.newestMinuteMs) this.advanceTo(minuteStartMs);
    return true;
  }

  /**
   * Returns the counts of a service in the window of `windowMs` that ends at `nowMs`. Buckets
   * that start before the window are left out.
   */
  service(serviceId: ServiceId, windowMs: number, nowMs: number): ServiceCounts {
    const buckets = windowMs <= 6 * HOUR_MS ? this.minutes : this.hours;
    const fromMs = nowMs - windowMs;
    return [...buckets]
      .filter(([startMs]) => startMs >= fromMs && startMs <= nowMs)
      .map(([, services]) => services.get(serviceId) ?? ZERO_COUNTS)
      .reduce(addCounts, ZERO_COUNTS);
  }

  /** Returns the counts of a service per hour, oldest first. */
  hourly(serviceId: ServiceId): ServicePoint[] {
    return [...this.hours]
      .map(([startMs, services]) => ({ startMs, ...(services.get(serviceId) ?? ZERO_COUNTS) }))
      .sort((a, b) => a.startMs - b.startMs);
  }

  /**
   * Returns the most frequent causes of bad requests in the window that ends at `nowMs`, with the
   * complete hour in which the window starts.
   */
  topCauses(serviceId: ServiceId, windowMs: number, nowMs: number, maxCauses: number): BurnCause[] {
    const merged = new CauseCounter(Number.POSITIVE_INFINITY);
    const fromMs = nowMs - windowMs - HOUR_MS;
    [...this.causes]
      .filter(([startMs]) => startMs >= fromMs)
      .flatMap(([, services]) => services.get(serviceId)?.top(MAX_CAUSES_PER_HOUR) ?? [])
      .forEach((cause) => merged.add(cause));
    return merged.top(maxCauses);
  }

  /**
   * Returns the tally of each team in the window that ends at `nowMs`, which is at most six hours.
   */
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
    addToBucket(this.minutes, minuteStartMs, serviceId, { total, bad, slow });
    addToBucket(this.hours, hourStartMs, serviceId, { total, bad, slow });
    const hour = this.causes.get(hourStartMs) ?? new Map<ServiceId, CauseCounter>();
    const counter = hour.get(serviceId) ?? new CauseCounter(MAX_CAUSES_PER_HOUR);
    tally.causes.forEach((cause) => counter.add(cause));
    hour.set(serviceId, counter);
    this.causes.set(hourStartMs, hour);
  }

  private addTeams(minuteStartMs: number, teams: BurnSummary['teams']): void {
    const bucket = this.teamMinutes.get(minuteStartMs) ?? new Map<TeamId, TeamTally>();
    Object.entries(teams).forEach(([teamId, tally]) => BurnHistory.addTeam(bucket, teamId, tally));
    this.teamMinutes.set(minuteStartMs, bucket);
  }

  private static addTeam(tallies: Map<TeamId, TeamTally>, teamId: TeamId, tally: TeamTally): void {
    const known = tallies.get(teamId) ?? { runMs: 0, answered: 0, refused: 0 };
    tallies.set(teamId, {
      runMs: known.runMs + tally.runMs,
      answered: known.answered + tally.answered,
      refused: known.refused + tally.refused,
    });
  }

  private advanceTo(newestMinuteMs: number): void {
    this.newestMinuteMs = newestMinuteMs;
    deleteBefore(this.minutes, newestMinuteMs - MINUTES_RETENTION_MS);
    deleteBefore(this.teamMinutes, newestMinuteMs - MINUTES_RETENTION_MS);
    deleteBefore(this.hours, newestMinuteMs - HOURS_RETENTION_MS);
    deleteBefore(this.causes, newestMinuteMs - HOURS_RETENTION_MS);
  }
}
