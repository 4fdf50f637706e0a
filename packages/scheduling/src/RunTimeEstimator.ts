/**
 * Expected run times, learned for each service, team and urgency. Declared run times can be wrong
 * by a factor of ten, so the declaration counts only until the first run. The mean follows the
 * samples as in Jacobson's smoothing of round-trip times (1988, RFC 6298): quickly at first, then
 * with a fixed gain; a sample counts for at most a few deviations, so that a single stalled run
 * does not move it much.
 */
import { type ServiceId, type TeamId, type Urgency } from '@acaciadock/core';

const MIN_GAIN = 1 / 16;
const DEVIATIONS_COUNTED = 4;
const MIN_DEVIATION_PART = 0.5;
/** The first samples are taken as they are. */
const FREE_SAMPLES = 4;
const MIN_ESTIMATE_MS = 1;

interface Estimate {
  samples: number;
  meanMs: number;
  deviationMs: number;
}

export interface RunKind {
  readonly serviceId: ServiceId;
  readonly teamId: TeamId;
  readonly urgency: Urgency;
}

export class RunTimeEstimator {
  private readonly estimates = new Map<string, Estimate>();

  /**
   * The expected run time: of this team's runs if any were seen, else of the service's runs of the
   * same urgency, else as declared.
   */
  estimateMs(kind: RunKind, declaredRunMs: number): number {
    const own = this.estimates.get(RunTimeEstimator.ownKey(kind));
    const known = own ?? this.estimates.get(RunTimeEstimator.serviceKey(kind));
    return Math.max(MIN_ESTIMATE_MS, known?.meanMs ?? declaredRunMs);
  }

  /** Learns from a run that ended. */
  learn(kind: RunKind, runMs: number): void {
    this.add(RunTimeEstimator.ownKey(kind), runMs);
    this.add(RunTimeEstimator.serviceKey(kind), runMs);
  }

  /** Kinds of runs that are remembered. */
  get size(): number {
    return this.estimates.size;
  }

  /** Forgets what belongs to services and teams that are no longer configured. */
  retain(keep: (serviceId: ServiceId, teamId: TeamId | undefined) => boolean): void {
    this.estimates.forEach((_, key) => {
      const [serviceId = '', , teamId] = key.split('\n');
      if (!keep(serviceId, teamId)) this.estimates.delete(key);
    });
  }

  private static ownKey({ serviceId, teamId, urgency }: RunKind): string {
    return `${serviceId}\n${urgency}\n${teamId}`;
  }

  private static serviceKey({ serviceId, urgency }: RunKind): string {
    return `${serviceId}\n${urgency}`;
  }

  private add(key: string, runMs: number): void {
    const known = this.estimates.get(key);
    if (!known) {
      this.estimates.set(key, { samples: 1, meanMs: runMs, deviationMs: runMs / 2 });
      return;
    }
    const mostMs =
      DEVIATIONS_COUNTED * Math.max(known.deviationMs, known.meanMs * MIN_DEVIATION_PART);
    const differenceMs = runMs - known.meanMs;
    const counted =
      known.samples < FREE_SAMPLES
        ? differenceMs
        : Math.max(-mostMs, Math.min(mostMs, differenceMs));
    known.samples += 1;
    const gain = Math.max(MIN_GAIN, 1 / known.samples);
    known.meanMs += gain * counted;
    known.deviationMs += gain * (Math.abs(counted) - known.deviationMs);
  }
}
