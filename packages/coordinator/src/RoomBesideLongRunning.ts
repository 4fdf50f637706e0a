/**
 * What targets can take once all their tasks have ended but those that run for good. A task that fits
 * nowhere even then waits forever unless its pool gets another instance.
 */
import { type StepSpec } from '@acaciadock/jobs';
import { type PlacementTarget, type Resources, TargetChooser } from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';

export class RoomBesideLongRunning {
  private readonly emptied: readonly PlacementTarget[];

  /** Capacities of the targets with long-running tasks; instances may have more than targets offer. */
  private readonly occupied: readonly Resources[];

  constructor(targets: readonly FleetTarget[]) {
    this.occupied = targets
      .filter(({ longRunningCount }) => longRunningCount > 0)
      .map(({ capacity }) => capacity);
    this.emptied = targets.map((target) => RoomBesideLongRunning.of(target));
  }

  /** The target without the tasks that will end. */
  static of(target: FleetTarget): PlacementTarget {
    const kept = RoomBesideLongRunning.longRunningOn(target);
    const sum = (of: (spec: StepSpec) => number): number =>
      kept.reduce((total, spec) => total + of(spec), 0);
    const { capacity } = target;
    return {
      targetId: target.targetId,
      rackId: target.rackId,
      labels: target.labels,
      freeCpuMilli: capacity.cpuMilli - sum((spec) => (spec.filler ? 0 : spec.cpuMilli)),
      freeMemoryMb: capacity.memoryMb - sum((spec) => spec.memoryMb),
      freeGpuCount: capacity.gpuCount - sum((spec) => spec.gpuCount),
      longRunningCount: target.longRunningCount,
      servingCount: target.servingCount,
      fillerCount: target.fillerCount,
      countOfStep: (stepId) => target.countOfStep(stepId),
    };
  }

  /**
   * Whether a task that will end finds no place on the targets, but would on one of them without its
   * long-running tasks, and on an empty instance.
   */
  needsAnother(step: StepSpec, capacity: Resources): boolean {
    // Whether another instance would have the label, or the room for the whole gang, is unknown.
    if (step.longRunning || step.filler || step.gang || step.requiredLabel !== '') return false;
    if (!RoomBesideLongRunning.fitsInto(capacity, step)) return false;
    if (!this.occupied.some((one) => RoomBesideLongRunning.fitsInto(one, step))) return false;
    // The other tasks of the step will end, too.
    const alone = { ...step, mostPerTarget: 0 };
    const request = { step: alone, stepId: '', avoidTargetId: '', onlyRackId: '' };
    return !this.emptied.some((target) => TargetChooser.fits(target, request));
  }

  private static fitsInto(capacity: Resources, step: StepSpec): boolean {
    return (
      step.cpuMilli <= capacity.cpuMilli &&
      step.memoryMb <= capacity.memoryMb &&
      step.gpuCount <= capacity.gpuCount
    );
  }

  private static longRunningOn({ runs, longRunningCount }: FleetTarget): readonly StepSpec[] {
    if (longRunningCount === 0) return [];
    return [...runs.values()]
      .map(({ place }) => place.step.spec)
      .filter((spec) => spec.longRunning);
  }
}
