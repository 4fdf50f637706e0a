/**
 * Answers the orders of a coordinator as targets would, without sending them: every start succeeds, and
 * every run ends after a moment.
 */
import { type Clock } from '@acaciadock/core';
import {
  type EndedRun,
  type HoldReport,
  type HoldRequest,
  type OrderReceipt,
  type RunningTask,
  type TargetAddress,
  TargetPort,
} from '@acaciadock/execution';
import { ok, type Result } from 'neverthrow';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';

/** Time until an order is answered, in milliseconds. */
const ANSWER_MS = 20;

/** Time from the start of a run to its end, in milliseconds. */
const RUNTIME_MS = 100;

interface ListedEnds {
  readonly ends: readonly EndedRun[];
  readonly lastSequence: number;
}

export class LoopbackPort extends TargetPort {
  /** The ends that are not acknowledged, by target. */
  private readonly ended = new Map<string, ListedEnds>();

  constructor(
    private readonly clock: Clock,
    private readonly targetOf: (targetId: string) => FleetTarget | undefined,
  ) {
    super();
  }

  override async hold(
    { targetId }: TargetAddress,
    { lastSeenEnd }: HoldRequest,
  ): Promise<Result<HoldReport, never>> {
    await this.clock.sleep(ANSWER_MS);
    const target = this.targetOf(targetId);
    const runs = [...(target?.runs.values() ?? [])].filter(({ phase }) => phase !== 'planned');
    const over = runs.filter((live) => this.isOver(live));
    return ok({
      clockMs: this.clock.monotonicMs(),
      bornMs: target?.entry?.bornMs ?? 0,
      running: runs.filter((live) => !over.includes(live)).map(LoopbackPort.toRunning),
      ended: this.listEnds(targetId, over, lastSeenEnd),
    });
  }

  override start(): Promise<Result<OrderReceipt, never>> {
    return this.accept();
  }

  override stop(): Promise<Result<OrderReceipt, never>> {
    return this.accept();
  }

  override pace(): Promise<Result<OrderReceipt, never>> {
    return this.accept();
  }

  override forget({ targetId }: TargetAddress): void {
    this.ended.delete(targetId);
  }

  private async accept(): Promise<Result<OrderReceipt, never>> {
    await this.clock.sleep(ANSWER_MS);
    return ok({ clockMs: this.clock.monotonicMs() });
  }

  private isOver(live: LiveRun): boolean {
    const ageMs = this.clock.monotonicMs() - live.startedMs;
    return live.isListed && !live.place.step.spec.longRunning && ageMs > RUNTIME_MS;
  }

  private listEnds(targetId: string, over: readonly LiveRun[], lastSeenEnd: number): EndedRun[] {
    const { ends: known, lastSequence } = this.ended.get(targetId) ?? { ends: [], lastSequence: 0 };
    const open = known.filter(({ sequence }) => sequence > lastSeenEnd);
    const isListed = ({ taskId, run }: LiveRun): boolean =>
      open.some((end) => end.taskId === taskId && end.run === run);
    const added = over
      .filter((live) => !isListed(live))
      .map(({ taskId, run }, index): EndedRun => ({
        sequence: lastSequence + index + 1,
        taskId,
        run,
        end: 'done',
        checkpoint: '',
      }));
    const ends = [...open, ...added];
    this.ended.set(targetId, { ends, lastSequence: lastSequence + added.length });
    return ends;
  }

  private static toRunning({ taskId, run, checkpoint }: LiveRun): RunningTask {
    return { taskId, run, checkpoint, percent: 50, loadFigure: 0 };
  }
}
