/** A run that may be alive on a target, with what its owner knows of it. */
import { type TaskPlace } from '@acaciadock/jobs';

/**
 * `planned`: being journaled, no order has left. `ordered`: the order is on its way. `running`:
 * the target has confirmed it. `uncertain`: it may be there or may still arrive. `stopping`: it
 * has been told to end.
 */
export type RunPhase = 'planned' | 'ordered' | 'running' | 'uncertain' | 'stopping';

export class LiveRun {
  phase: RunPhase = 'planned';

  /**
   * A report asked for after this monotonic time that does not list the run proves that it is not
   * there and never will be; undefined while nothing can prove that.
   */
  absenceCountsFromMs: number | undefined;

  startedMs = 0;

  /** Latest share of work or progress that the target reported. */
  percent = 0;

  /** When the target last listed the run, monotonic. */
  reportedMs = 0;

  /** When `percent` or the checkpoint last changed, monotonic. */
  progressedMs = 0;

  loadFigure = 0;

  /** The advice service's leave to run there; empty where none is needed. */
  ticket = '';

  /** The share that the target was last told, 0 to 100. */
  pacePercent = 100;

  /** When it was told so, monotonic. */
  pacedMs = 0;

  constructor(
    readonly place: TaskPlace,
    readonly run: number,
    readonly targetId: string,
    readonly bornMs: number,
  ) {}

  get taskId(): string {
    return this.place.task.taskId;
  }
}
