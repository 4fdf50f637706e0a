/**
 * Disruption budget of long-running steps: a task may be stopped on purpose only while fewer tasks
 * of its step are unavailable than the job allows. A task is available only if its target has
 * recently reported it as running at its full work rate.
 */
import { type Clock } from '@acaciadock/core';
import { type StepState, type TaskState } from '@acaciadock/jobs';
import { type LiveRun } from './LiveRun.js';

const FULL_SHARE_PERCENT = 100;

/** A report older than this proves nothing, in milliseconds: by then, a few reports are missing. */
const MAX_REPORT_AGE_MS = 2_500;

export class DisruptionBudget {
  constructor(
    private readonly liveRunOf: (taskId: string, targetId: string) => LiveRun | undefined,
    private readonly clock: Clock,
  ) {}

  /** Whether stopping the task keeps the step within its budget. */
  mayStop(step: StepState, task: TaskState): boolean {
    // Without a budget in the job's specification no task may be stopped.
    const allowed = step.spec.mostUnavailable ?? 0;
    const unavailable = step.tasks.filter(
      (other) => other !== task && !this.isAvailable(other),
    ).length;
    return unavailable < allowed;
  }

  private isAvailable(task: TaskState): boolean {
    return task.runs.some((run) => {
      const live = this.liveRunOf(task.taskId, run.targetId);
      if (live?.phase !== 'running' || live.percent < FULL_SHARE_PERCENT) return false;
      return this.clock.monotonicMs() - live.reportedMs < MAX_REPORT_AGE_MS;
    });
  }
}
