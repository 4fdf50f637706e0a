/**
 * Finds the queues whose tasks seem to crash the targets that start them: several targets have fallen
 * silent one after the other right after they had started tasks of the queue. Tasks of one queue often have
 * a fault in common, so its waiting tasks start as suspects from then on, for a while: they are not lost
 * with the other new tasks of a target, nor these with them. Nothing is counted against a task.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type QueuedStep } from './QueuedStep.js';

/** Signs of a queue are forgotten after this long, in milliseconds. */
const SIGN_KEPT_MS = 5_000;

/**
 * Targets that fall silent within this time count as one sign, in milliseconds: a rack or a link that fails
 * takes several at once.
 */
const SAME_CAUSE_MS = 500;

/** Signs after which the tasks of a queue start as suspects. */
const MIN_SIGNS = 2;

export class QueueCaution {
  /** Monotonic times of the signs of each queue, oldest first. */
  private readonly signsMs = new Map<string, readonly number[]>();

  private readonly observed = new WeakSet<LiveRun>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Records a sign for each queue with early runs on those of the targets that have fallen silent. */
  observe(targets: readonly FleetTarget[]): void {
    const nowMs = this.clock.monotonicMs();
    targets
      .filter(({ consecutiveFailures }) => consecutiveFailures > 0)
      .flatMap(({ runs }) => [...runs.values()])
      .filter((live) => live.isEarly && live.phase !== 'planned' && !this.observed.has(live))
      .forEach((live) => {
        this.observed.add(live);
        this.recordSign(live.place.job.definition.queueId, nowMs);
      });
  }

  /** Makes suspects of the waiting tasks of the step, if its queue has had several signs lately. */
  apply({ entry, step }: QueuedStep): void {
    const signs = this.recentSigns(entry.job.definition.queueId, this.clock.monotonicMs());
    if (signs.length < MIN_SIGNS) return;
    step.waitingTasks.forEach((task) => task.markSuspected());
  }

  private recordSign(queueId: string, nowMs: number): void {
    const signs = this.recentSigns(queueId, nowMs);
    const isSameCause = nowMs - (signs.at(-1) ?? -Infinity) < SAME_CAUSE_MS;
    this.signsMs.set(queueId, isSameCause ? signs : [...signs, nowMs]);
    if (!isSameCause && signs.length === MIN_SIGNS - 1)
      this.logger.warn('queue-suspected', { queueId, signs: MIN_SIGNS });
  }

  private recentSigns(queueId: string, nowMs: number): readonly number[] {
    return (this.signsMs.get(queueId) ?? []).filter((atMs) => nowMs - atMs < SIGN_KEPT_MS);
  }
}
