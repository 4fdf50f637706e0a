/**
 * Whether a task that serves may be stopped on purpose: only while fewer of its step are away than
 * the job allows. A task counts as away unless its target has lately reported it at full work.
 */
import { type Clock } from '@acaciadock/core';
import { type StepState, type TaskState } from '@acaciadock/jobs';
import { type LiveRun } from './LiveRun.js';

const FULL_WORK_PERCENT = 100;

/** A report older than this proves nothing, in milliseconds: a few reports are missing. */
const FRESH_MS = 2_500;

export class ServingGuard {
  constructor(
    private readonly liveRunOf: (taskId: string, targetId: string) => LiveRun | undefined,
    private readonly clock: Clock,
  ) {}

  mayStop(step: StepState, task: TaskState): boolean {
    // Without a promise nothing says how many may be away; then none is taken away.
    const allowed = step.spec.mostUnavailable ?? 0;
    const away = step.tasks.filter((other) => other !== task && !this.isAtWork(other)).length;
    return away < allowed;
  }

  private isAtWork(task: TaskState): boolean {
    return task.runs.some((run) => {
      const live = this.liveRunOf(task.taskId, run.targetId);
      if (live?.phase !== 'running' || live.percent < FULL_WORK_PERCENT) return false;
      return this.clock.monotonicMs() - live.reportedMs < FRESH_MS;
    });
  }
}
