/**
 * Chooses the target that runs a task. Tasks are packed onto the fullest target with room, so that
 * other targets become empty and their instances can be moved. Long-running tasks are packed onto
 * targets that already run some.
 */
import { type StepSpec } from '@acaciadock/jobs';

/** Properties of a target that determine placement. */
export interface PlacementTarget {
  readonly targetId: string;
  readonly rackId: string;
  readonly labels: readonly string[];
  readonly freeCpuMilli: number;
  readonly freeMemoryMb: number;
  readonly freeGpuCount: number;
  /** CPU that is kept free because the target is slow. */
  readonly withheldCpuMilli?: number;
  readonly longRunningCount: number;
  /** Tasks on the target that have a latency bound. */
  readonly servingCount: number;
  readonly fillerCount: number;
  /** Number of tasks of the step that are on the target now. */
  countOfStep(stepId: string): number;
}

export interface PlacementRequest {
  readonly step: StepSpec;
  readonly stepId: string;
  /** Chosen only if no other target fits. */
  readonly avoidTargetId: string;
  /** If set, only targets in this rack are considered. */
  readonly onlyRackId: string;
}

/** Exceeds any difference in free CPU, so that a preference always outweighs packing. */
const PREFERENCE_WEIGHT = 1e9;

export class TargetChooser {
  /** Whether the target could take one more task of the step. */
  static fits(target: PlacementTarget, request: PlacementRequest): boolean {
    const { step } = request;
    if (!step.filler && target.freeCpuMilli < step.cpuMilli) return false;
    const withheldCpuMilli = target.withheldCpuMilli ?? 0;
    if (withheldCpuMilli > 0 && target.freeCpuMilli - withheldCpuMilli < step.cpuMilli)
      return false;
    if (target.freeMemoryMb < step.memoryMb) return false;
    if (target.freeGpuCount < step.gpuCount) return false;
    if (step.requiredLabel !== '' && !target.labels.includes(step.requiredLabel)) return false;
    if (request.onlyRackId !== '' && target.rackId !== request.onlyRackId) return false;
    return step.mostPerTarget === 0 || target.countOfStep(request.stepId) < step.mostPerTarget;
  }

  /** Returns the best target that fits, or undefined if there is none. */
  static choose<T extends PlacementTarget>(
    targets: readonly T[],
    request: PlacementRequest,
  ): T | undefined {
    let best: T | undefined;
    let bestScore = -Infinity;
    for (const target of targets) {
      if (!TargetChooser.fits(target, request)) continue;
      const score = TargetChooser.score(target, request);
      if (score > bestScore) {
        best = target;
        bestScore = score;
      }
    }
    return best;
  }

  private static score(target: PlacementTarget, request: PlacementRequest): number {
    const { step } = request;
    let score = -target.freeCpuMilli;
    if (target.targetId === request.avoidTargetId) score -= 4 * PREFERENCE_WEIGHT;
    if (step.preferredRack !== '' && target.rackId === step.preferredRack) {
      score += 2 * PREFERENCE_WEIGHT;
    }
    // Filler tasks increase the latency of serving tasks, so they are kept apart.
    if (step.filler && target.servingCount > 0) score -= 3 * PREFERENCE_WEIGHT;
    if (step.tailTargetMs > 0 && target.fillerCount > 0) score -= 3 * PREFERENCE_WEIGHT;
    if (step.longRunning && target.longRunningCount > 0) score += PREFERENCE_WEIGHT;
    return score;
  }
}
