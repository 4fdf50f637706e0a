/**
 * Estimates run times from samples per service, team and urgency. Declared run times can be wrong
 * by a factor of ten, so the declaration is used only until the first run has ended. The mean is
 * smoothed like round-trip times in Jacobson's algorithm (1988, RFC 6298): with a high gain at
 * first, then with a fixed gain. A sample is clamped to a few deviations from the mean, so that a
 * single stalled run has little effect.
 */
import { type ServiceId, type TeamId, type Urgency } from '@acaciadock/core';

const MIN_GAIN = 1 / 16;
const MAX_DEVIATIONS = 4;
const MIN_DEVIATION_RATIO = 0.5;
/** The first samples are not clamped. */
const UNCLAMPED_SAMPLES = 4;
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
   * Returns the expected run time: from this team's runs if there are any, else from all runs of
   * the service with the same urgency, else the declared one.
   */
  estimateMs(kind: RunKind, declaredRunMs: number): number {
    const own = this.estimates.get(RunTimeEstimator.ownKey(kind));
    const known = own ?? this.estimates.get(RunTimeEstimator.serviceKey(kind));
    return Math.max(MIN_ESTIMATE_MS, known?.meanMs ?? declaredRunMs);
  }

  /** Updates the estimates with the run time of a run that ended. */
  learn(kind: RunKind, runMs: number): void {
    this.add(RunTimeEstimator.ownKey(kind), runMs);
    this.add(RunTimeEstimator.serviceKey(kind), runMs);
  }

  /** Number of estimates that are kept. */
  get size(): number {
    return this.estimates.size;
  }

  /**
   * Drops the estimates for which `keep` returns false; `teamId` is undefined for a service-wide
   * one.
   */
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
    const maxDifferenceMs =
      MAX_DEVIATIONS * Math.max(known.deviationMs, known.meanMs * MIN_DEVIATION_RATIO);
    const differenceMs = runMs - known.meanMs;
    const appliedMs =
      known.samples < UNCLAMPED_SAMPLES
        ? differenceMs
        : Math.max(-maxDifferenceMs, Math.min(maxDifferenceMs, differenceMs));
    known.samples += 1;
    const gain = Math.max(MIN_GAIN, 1 / known.samples);
    known.meanMs += gain * appliedMs;
    known.deviationMs += gain * (Math.abs(appliedMs) - known.deviationMs);
  }
}
