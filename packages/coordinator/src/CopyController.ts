/**
 * Starts copies of tasks whose step permits several concurrent runs, if the target of the run is
 * silent or the run stalls or is slow. Copies use only room that no waiting task needs.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { CopyPolicy, type CopyReason, QueueOrder } from '@acaciadock/placement';
import { type DemandMeter } from './DemandMeter.js';
import { type FleetTarget } from './FleetTarget.js';
import { type JobScheduler } from './JobScheduler.js';
import { type LiveRun } from './LiveRun.js';
import { type Ownership } from './Ownership.js';
import { type QueuedStep } from './QueuedStep.js';
import { type RunTracker } from './RunTracker.js';
import { type TargetTable } from './TargetTable.js';

export interface CopyControllerDeps {
  readonly targets: TargetTable;
  readonly runTracker: RunTracker;
  readonly scheduler: JobScheduler;
  readonly demand: DemandMeter;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class CopyController {
  constructor(private readonly deps: CopyControllerDeps) {}

  /**
   * Copies the tasks that run on silent targets, in the order of the queue. A task under a crash gets
   * no such copy, as the silence may be the next crash.
   */
  check(): void {
    const candidates = this.silentTargets()
      .flatMap((target) => [...target.runs.values()])
      .filter((live) => CopyController.mayCopy(live) && live.place.task.crashes === 0)
      .flatMap((live) => {
        const open = this.deps.scheduler.queuedStepOf(live.place);
        return open ? [{ ...open, open, live }] : [];
      });
    if (candidates.length === 0) return;
    this.deps.scheduler.flush();
    const budgets = new Map<string, number>();
    for (const { open, live } of QueueOrder.sort(candidates, this.deps.clock.unixMs())) {
      const poolId = this.deps.scheduler.poolOf(open.entry);
      const budget = budgets.get(poolId) ?? this.budgetOf(poolId);
      const isCopied =
        budget > 0 && CopyController.mayCopy(live) && this.copy(open, live, 'silent');
      budgets.set(poolId, isCopied ? budget - 1 : budget);
    }
  }

  /**
   * Copies the task of a straggler; `restart` if there can be no copy. While a newer run makes
   * progress, the straggler continues, because either may end first. The newer run itself is
   * restarted like any other, so two stragglers never wait for each other.
   */
  handleStraggler(live: LiveRun, verdict: Exclude<CopyReason, 'silent'>): 'copied' | 'restart' {
    const others = this.deps.runTracker
      .liveRunsOf(live.taskId)
      .filter((other) => other !== live && other.phase !== 'stopping');
    if (others.some((other) => other.run > live.run && !this.isUnanswered(other))) return 'copied';
    if (!CopyController.mayCopy(live)) return 'restart';
    const { scheduler } = this.deps;
    scheduler.flush();
    const open = scheduler.queuedStepOf(live.place);
    if (
      !open ||
      !CopyController.mayCopy(live) ||
      this.budgetOf(scheduler.poolOf(open.entry)) === 0
    ) {
      return 'restart';
    }
    return this.copy(open, live, verdict) ? 'copied' : 'restart';
  }

  private isUnanswered({ targetId }: LiveRun): boolean {
    return (this.deps.targets.get(targetId)?.consecutiveFailures ?? 0) > 0;
  }

  private silentTargets(): FleetTarget[] {
    const unanswered = [...this.deps.targets.all].filter(
      (target) => target.consecutiveFailures > 0,
    );
    const byRack = new Map<string, number>();
    unanswered.forEach(({ rackId }) => byRack.set(rackId, (byRack.get(rackId) ?? 0) + 1));
    return unanswered.filter(({ consecutiveFailures, rackId }) =>
      CopyPolicy.isSilent(consecutiveFailures, rackId === '' ? 1 : (byRack.get(rackId) ?? 0)),
    );
  }

  private static mayCopy({ phase, place }: LiveRun): boolean {
    const { job, step, task } = place;
    if (phase === 'planned' || job.isFinished) return false;
    return CopyPolicy.mayCopy({
      step: step.spec,
      isDone: task.done,
      runCount: task.runs.length,
      failures: task.failures,
      maxAttempts: job.definition.maxAttempts,
    });
  }

  /** Number of copies that may start in the pool now: none while its waiting work lacks room. */
  private budgetOf(poolId: string): number {
    const { targets, demand, ownership } = this.deps;
    if (!ownership.isActive || !ownership.mayAcceptWork || demand.hasWaiting(poolId)) return 0;
    const runs = targets.ofPool(poolId).flatMap((target) => [...target.runs.values()]);
    const copies = runs.filter((live) => CopyController.isCopy(live)).length;
    return CopyPolicy.budget(runs.length - copies, copies);
  }

  private static isCopy({ place, run }: LiveRun): boolean {
    return place.task.runs.some((other) => other.run < run);
  }

  private copy(open: QueuedStep, live: LiveRun, reason: CopyReason): boolean {
    const { scheduler, targets, logger } = this.deps;
    const { job, step, task } = live.place;
    const free = scheduler
      .openTargets(scheduler.poolOf(open.entry))
      .filter((target) => !target.runs.has(live.taskId));
    const rackId = targets.get(live.targetId)?.rackId ?? '';
    // The target may be silent because it crashed when it started the task.
    if (reason === 'silent' && live.isEarly) task.markSuspected();
    // A fault often hits a whole rack, so another rack is preferred.
    const copy =
      scheduler.placeCopy(
        open,
        task,
        free.filter((target) => target.rackId !== rackId),
      ) ?? scheduler.placeCopy(open, task, free);
    if (!copy) return false;
    logger.info('task-copied', {
      jobId: job.jobId,
      stepId: step.stepId,
      taskId: live.taskId,
      reason,
      run: copy.run,
      targetId: copy.targetId,
      formerRun: live.run,
      formerTargetId: live.targetId,
    });
    return true;
  }
}
