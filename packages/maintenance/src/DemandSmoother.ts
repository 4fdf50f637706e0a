/**
 * Exponentially weighted moving average of each service's demand in slots. The half-life is longer
 * than a move takes, so a burst of a few seconds has little effect. The average is divided by the
 * weight accumulated so far, so that the first observations do not look like a rise from zero.
 */
import { type Clock, type ServiceId } from '@acaciadock/core';
import { type Demand } from './AvailabilityBudget.js';

const HALF_LIFE_MS = 10 * 60 * 1_000;

interface WeightedMean {
  weightedSlots: number;
  weight: number;
  observedAtMs: number;
}

export class DemandSmoother {
  private readonly means = new Map<ServiceId, WeightedMean>();

  constructor(
    private readonly clock: Clock,
    private readonly halfLifeMs = HALF_LIFE_MS,
  ) {}

  /**
   * Records the number of slots that the service uses now, weighted by the time since its previous
   * observation. The first observation has no weight; it only starts that time.
   */
  observe(serviceId: ServiceId, slots: number): void {
    const nowMs = this.clock.monotonicMs();
    const mean = this.means.get(serviceId);
    if (!mean) {
      this.means.set(serviceId, { weightedSlots: 0, weight: 0, observedAtMs: nowMs });
      return;
    }
    const kept = 0.5 ** ((nowMs - mean.observedAtMs) / this.halfLifeMs);
    mean.weightedSlots = mean.weightedSlots * kept + slots * (1 - kept);
    mean.weight = mean.weight * kept + (1 - kept);
    mean.observedAtMs = nowMs;
  }

  /** Services without a weighted observation are left out. */
  demand(): Demand {
    const seen = [...this.means].filter(([, { weight }]) => weight > 0);
    return new Map(seen.map(([id, { weightedSlots, weight }]) => [id, weightedSlots / weight]));
  }
}
