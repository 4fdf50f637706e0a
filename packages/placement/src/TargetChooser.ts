/**
 * Chooses the target that runs a task. Tasks are packed onto the fullest target with room, so that
 * other targets become empty and their instances can be moved. Long-running tasks are packed onto
 * targets that already run some. The fullest target is the one with the least usable room: how often
 * the work of the pool fits into what is free, by the resource that runs out first. Where CPU runs
 * out first everywhere, it is the target with the least free CPU.
 */
import { type StepSpec } from '@acaciadock/jobs';
import { type Resources, ResourceVector } from './ResourceVector.js';

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

/** Exceeds any difference in usable room, so that a preference always outweighs packing. */
const PREFERENCE_WEIGHT = 1e9;

/** Proportions of work of unknown size. */
const CPU_ONLY = new ResourceVector(1, 0, 0);

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

  /**
   * Returns the best target that fits, or undefined if there is none. `work` is the sum of the
   * pool's work, of which only the proportions matter.
   */
  static choose<T extends PlacementTarget>(
    targets: readonly T[],
    request: PlacementRequest,
    work: Resources = request.step,
  ): T | undefined {
    const proportions = TargetChooser.proportionsOf(work);
    let best: T | undefined;
    let bestScore = -Infinity;
    for (const target of targets) {
      if (!TargetChooser.fits(target, request)) continue;
      const score = TargetChooser.score(target, request, proportions);
      if (score > bestScore) {
        best = target;
        bestScore = score;
      }
    }
    return best;
  }

  /** The work relative to its largest amount, so that usable room never exceeds a free amount. */
  private static proportionsOf(work: Resources): ResourceVector {
    const largest = Math.max(work.cpuMilli, work.memoryMb, work.gpuCount);
    return largest > 0 ? ResourceVector.ZERO.plus(work, 1 / largest) : CPU_ONLY;
  }

  private static usableRoom(
    freeCpuMilli: number,
    freeMemoryMb: number,
    freeGpuCount: number,
    work: ResourceVector,
  ): number {
    // A resource that the work does not use is no limit.
    return Math.min(
      work.cpuMilli > 0 ? freeCpuMilli / work.cpuMilli : Infinity,
      work.memoryMb > 0 ? freeMemoryMb / work.memoryMb : Infinity,
      work.gpuCount > 0 ? freeGpuCount / work.gpuCount : Infinity,
    );
  }

  /** Higher for targets with less usable room, of which the task takes less. */
  private static packingScore(
    { freeCpuMilli, freeMemoryMb, freeGpuCount }: PlacementTarget,
    step: StepSpec,
    work: ResourceVector,
  ): number {
    const room = TargetChooser.usableRoom(freeCpuMilli, freeMemoryMb, freeGpuCount, work);
    const roomAfter = TargetChooser.usableRoom(
      freeCpuMilli - (step.filler ? 0 : step.cpuMilli),
      freeMemoryMb - step.memoryMb,
      freeGpuCount - step.gpuCount,
      work,
    );
    return -room - (room - roomAfter);
  }

  private static score(
    target: PlacementTarget,
    request: PlacementRequest,
    work: ResourceVector,
  ): number {
    const { step } = request;
    let score = TargetChooser.packingScore(target, step, work);
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
