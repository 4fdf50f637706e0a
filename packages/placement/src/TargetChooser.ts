/**
 * Which target runs a task. Work is packed onto the fullest target that has room, so that others
 * become empty and can be parked; tasks that last are packed onto targets that already have some.
 */
import { type StepSpec } from '@acaciadock/jobs';

/** What placing needs to know of a target. */
export interface PlacementTarget {
  readonly targetId: string;
  readonly rackId: string;
  readonly labels: readonly string[];
  readonly freeCpuMilli: number;
  readonly freeMemoryMb: number;
  readonly freeGpuCount: number;
  readonly longRunningCount: number;
  /** Tasks there that must keep a bound on their response times. */
  readonly servingCount: number;
  readonly fillerCount: number;
  /** Tasks of the step that are there now. */
  countOfStep(stepId: string): number;
}

export interface PlacementWish {
  readonly step: StepSpec;
  readonly stepId: string;
  /** Chosen only if there is no other. */
  readonly avoidTargetId: string;
  /** Only targets in this rack, if set. */
  readonly onlyRackId: string;
}

/** Larger than any difference in free processor. */
const STRONG_PREFERENCE = 1e9;

export class TargetChooser {
  /** Whether the target could take one more task of the step. */
  static fits(target: PlacementTarget, wish: PlacementWish): boolean {
    const { step } = wish;
    if (!step.filler && target.freeCpuMilli < step.cpuMilli) return false;
    if (target.freeMemoryMb < step.memoryMb) return false;
    if (target.freeGpuCount < step.gpuCount) return false;
    if (step.requiredLabel !== '' && !target.labels.includes(step.requiredLabel)) return false;
    if (wish.onlyRackId !== '' && target.rackId !== wish.onlyRackId) return false;
    return step.mostPerTarget === 0 || target.countOfStep(wish.stepId) < step.mostPerTarget;
  }

  /** The best target with room, or undefined. */
  static choose<T extends PlacementTarget>(
    targets: readonly T[],
    wish: PlacementWish,
  ): T | undefined {
    let best: T | undefined;
    let bestScore = -Infinity;
    for (const target of targets) {
      if (!TargetChooser.fits(target, wish)) continue;
      const score = TargetChooser.score(target, wish);
      if (score > bestScore) {
        best = target;
        bestScore = score;
      }
    }
    return best;
  }

  private static score(target: PlacementTarget, wish: PlacementWish): number {
    const { step } = wish;
    let score = -target.freeCpuMilli;
    if (target.targetId === wish.avoidTargetId) score -= 4 * STRONG_PREFERENCE;
    if (step.preferredRack !== '' && target.rackId === step.preferredRack) {
      score += 2 * STRONG_PREFERENCE;
    }
    // What fills disturbs what serves.
    if (step.filler && target.servingCount > 0) score -= 3 * STRONG_PREFERENCE;
    if (step.tailTargetMs > 0 && target.fillerCount > 0) score -= 3 * STRONG_PREFERENCE;
    if (step.longRunning && target.longRunningCount > 0) score += STRONG_PREFERENCE;
    return score;
  }
}
