/**
 * Moves long-running tasks off a target: stops them as far as the disruption budgets of their steps
 * allow and other targets have room, so that they restart there.
 */
import { type Clock } from '@acaciadock/core';
import { TargetChooser } from '@acaciadock/placement';
import { DisruptionBudget } from './DisruptionBudget.js';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type RunTracker } from './RunTracker.js';
import { type TargetTable } from './TargetTable.js';

export class TaskRelocator {
  private readonly disruptionBudget: DisruptionBudget;

  constructor(
    private readonly targets: TargetTable,
    private readonly runTracker: RunTracker,
    private readonly clock: Clock,
  ) {
    this.disruptionBudget = new DisruptionBudget(
      (taskId, targetId) => runTracker.liveRunOf(taskId, targetId),
      clock,
    );
  }

  /**
   * Stops the tasks that may be moved now. Returns false if one of them has to stay only because no
   * other target has room for it.
   */
  moveAway(target: FleetTarget): boolean {
    let hasRoom = true;
    for (const live of target.runs.values()) {
      const { step, task } = live.place;
      const isMovable = step.spec.longRunning && live.phase === 'running';
      if (!isMovable || !this.disruptionBudget.mayStop(step, task)) continue;
      if (this.hasRoomElsewhere(live, target.poolId)) this.runTracker.stop(live);
      else hasRoom = false;
    }
    return hasRoom;
  }

  private hasRoomElsewhere({ place: { step } }: LiveRun, poolId: string): boolean {
    const nowMs = this.clock.monotonicMs();
    const request = { step: step.spec, stepId: step.stepId, avoidTargetId: '', onlyRackId: '' };
    for (const other of this.targets.all) {
      const isCandidate = other.poolId === poolId && other.isOpen(nowMs);
      if (isCandidate && TargetChooser.fits(other, request)) return true;
    }
    return false;
  }
}
