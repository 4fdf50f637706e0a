/**
 * Finds the queues whose tasks seem to crash the targets that start them: several targets have fallen
 * silent one after the other right after they had started tasks of the queue, and none of them has answered
 * since. Tasks of one queue often have a fault in common, so its waiting tasks start as suspects meanwhile:
 * they are not lost with the other new tasks of a target, nor these with them. Nothing is counted against
 * a task.
 */
import { type Clock, type Logger } from '@acaciadock/core';
import { type FleetTarget } from './FleetTarget.js';
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

/**
 * Calls in a row without an answer that make a sign while answers are known to get lost. Where none has
 * been lost lately, the first one does.
 */
const LASTING_FAILURES = 3;

/** A target that fell silent with early runs. */
interface Sign {
  readonly atMs: number;
  /** The process that was to run them; one that answers later has not crashed. */
  readonly bornMs: number;
  readonly queueIds: ReadonlySet<string>;
}

export class QueueCaution {
  /** The signs by target, oldest first. */
  private readonly signs = new Map<FleetTarget, Sign>();

  /** Monotonic time at which a target last answered after it had not, so that an answer was lost. */
  private answerLostMs = -Infinity;

  /** Queues whose tasks start as suspects, as of the last observation. */
  private suspectedQueues: ReadonlySet<string> = new Set();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Records a sign for each of the targets that has fallen silent with early runs. */
  observe(targets: readonly FleetTarget[]): void {
    const nowMs = this.clock.monotonicMs();
    this.signs.forEach((sign, target) => {
      const { consecutiveFailures, runs, bornMs } = target;
      const hasAnswered = consecutiveFailures === 0 && bornMs === sign.bornMs;
      // A target that stays silent with the same early runs is no further sign.
      const isStillSilent = consecutiveFailures > 0 && runs.size > 0;
      const isOver = nowMs - sign.atMs >= SIGN_KEPT_MS && !isStillSilent;
      if (hasAnswered) this.answerLostMs = nowMs;
      if (hasAnswered || isOver) this.signs.delete(target);
    });
    targets
      .filter((target) => target.consecutiveFailures > 0 && !this.signs.has(target))
      .forEach((target) => this.recordSign(target, nowMs));
    this.updateQueues(nowMs);
  }

  /** Makes suspects of the waiting tasks of the step that have not settled, while its queue is suspected. */
  apply({ entry, step }: QueuedStep): void {
    const isSuspected = this.isSuspected(entry.job.definition.queueId);
    step.waitingTasks.forEach((task) => {
      const isCautious = isSuspected && !task.hasSettled;
      if (task.isCautious !== isCautious) Object.assign(task, { isCautious });
    });
  }

  /** Whether new tasks of the queue start as suspects. */
  isSuspected(queueId: string): boolean {
    return this.suspectedQueues.has(queueId);
  }

  private recordSign(target: FleetTarget, atMs: number): void {
    const early = [...target.runs.values()].filter(
      (live) => live.isEarly && live.phase !== 'planned',
    );
    if (early.length === 0) return;
    const queueIds = new Set(early.map(({ place }) => place.job.definition.queueId));
    this.signs.set(target, { atMs, bornMs: target.bornMs, queueIds });
  }

  private updateQueues(nowMs: number): void {
    if (this.signs.size === 0 && this.suspectedQueues.size === 0) return;
    const queueIds = new Set([...this.signs.values()].flatMap((sign) => [...sign.queueIds]));
    const suspected = [...queueIds].filter(
      (queueId) => this.countSigns(queueId, nowMs) >= MIN_SIGNS,
    );
    suspected
      .filter((queueId) => !this.suspectedQueues.has(queueId))
      .forEach((queueId) => this.logger.warn('queue-suspected', { queueId, signs: MIN_SIGNS }));
    this.suspectedQueues = new Set(suspected);
  }

  private countSigns(queueId: string, nowMs: number): number {
    let count = 0;
    let lastMs = -Infinity;
    const mustLast = nowMs - this.answerLostMs < SIGN_KEPT_MS;
    this.signs.forEach((sign, target) => {
      if (mustLast && !QueueCaution.isLasting(target, sign)) return;
      if (!sign.queueIds.has(queueId) || nowMs - sign.atMs >= SIGN_KEPT_MS) return;
      if (sign.atMs - lastMs < SAME_CAUSE_MS) return;
      count += 1;
      lastMs = sign.atMs;
    });
    return count;
  }

  private static isLasting({ consecutiveFailures, bornMs }: FleetTarget, sign: Sign): boolean {
    return consecutiveFailures >= LASTING_FAILURES || bornMs !== sign.bornMs;
  }
}
