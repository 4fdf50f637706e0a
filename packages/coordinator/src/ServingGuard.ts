/**
 * Whether a task that serves may be stopped on purpose: only while fewer of its step are away than
 * the job allows. A task counts as away until its target has reported it at full work.
 */
import { type StepState, type TaskState } from '@acaciadock/jobs';
import { type LiveRun } from './LiveRun.js';

const FULL_WORK_PERCENT = 100;

export class ServingGuard {
  constructor(
    private readonly liveRunOf: (taskId: string, targetId: string) => LiveRun | undefined,
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
      return live?.phase === 'running' && live.percent >= FULL_WORK_PERCENT;
    });
  }
}
