/** The way from one entry to the targets: cuts, lost answers and orders that arrive late. */
import { type ManualClock, type Random } from '@acaciadock/core';
import {
  type HoldReport,
  type HoldRequest,
  ORDER_TIMEOUT_MS,
  type OrderFailure,
  type OrderReceipt,
  type StartOrder,
  type StopOrder,
  type TargetAddress,
  TargetPort,
} from '@acaciadock/execution';
import { err, ok, type Result } from 'neverthrow';
import { type PausableClock } from './PausableClock.js';
import { type SimulatedTarget } from './SimulatedTarget.js';

const LATENCY_MS = 2;
const LATE_LEAST_MS = 2_000;
const LATE_SPAN_MS = 10_000;
const NEWS_POLL_MS = 10;

export interface PortFaults {
  /** Targets that this entry can't reach. */
  readonly cutTargets: Set<string>;
  /** Share of orders and reports that get no answer and are carried out 2 to 12 s later. */
  lateOrderShare: number;
}

type Action<T> = (target: SimulatedTarget) => Result<T, OrderFailure>;

export class SimulatedPort extends TargetPort {
  constructor(
    private readonly targets: ReadonlyMap<string, SimulatedTarget>,
    private readonly faults: PortFaults,
    private readonly clock: PausableClock,
    private readonly base: ManualClock,
    private readonly random: Random,
  ) {
    super();
  }

  override hold(
    target: TargetAddress,
    request: HoldRequest,
  ): Promise<Result<HoldReport, OrderFailure>> {
    return new Promise((resolve) => {
      const untilMs = this.base.monotonicMs() + request.waitMs;
      const answer = (result: Result<HoldReport, OrderFailure>): void =>
        this.clock.fire(() => resolve(result));
      const look = (): void => {
        const found = this.reach(target.targetId);
        if (!found) {
          this.base.after(ORDER_TIMEOUT_MS, () => answer(SimulatedPort.unknown()));
          return;
        }
        const isDue = found.hasNews(request.lastSeenEnd) || this.base.monotonicMs() >= untilMs;
        if (isDue) answer(found.hold(request));
        else this.base.after(NEWS_POLL_MS, look);
      };
      if (this.random.chance(this.faults.lateOrderShare)) {
        this.delay(target.targetId, (found) => found.hold(request));
        this.base.after(request.waitMs + ORDER_TIMEOUT_MS, () => answer(SimulatedPort.unknown()));
        return;
      }
      this.base.after(LATENCY_MS, () => {
        // The lease and the acknowledgement count from the arrival.
        this.reach(target.targetId)?.hold(request);
        look();
      });
    });
  }

  override start(
    target: TargetAddress,
    order: StartOrder,
  ): Promise<Result<OrderReceipt, OrderFailure>> {
    return this.order(target, (found) => found.start(order));
  }

  override stop(
    target: TargetAddress,
    order: StopOrder,
  ): Promise<Result<OrderReceipt, OrderFailure>> {
    return this.order(target, (found) => found.stop(order));
  }

  override pace(): Promise<Result<OrderReceipt, OrderFailure>> {
    return Promise.resolve(ok({ clockMs: 0 }));
  }

  override forget(): void {
    // There are no connections.
  }

  private order<T>(target: TargetAddress, action: Action<T>): Promise<Result<T, OrderFailure>> {
    return new Promise((resolve) => {
      const answer = (result: Result<T, OrderFailure>): void =>
        this.clock.fire(() => resolve(result));
      if (this.random.chance(this.faults.lateOrderShare)) {
        this.delay(target.targetId, action);
        this.base.after(ORDER_TIMEOUT_MS, () => answer(SimulatedPort.unknown()));
        return;
      }
      this.base.after(LATENCY_MS, () => {
        const found = this.reach(target.targetId);
        if (!found) this.base.after(ORDER_TIMEOUT_MS, () => answer(SimulatedPort.unknown()));
        else answer(action(found));
      });
    });
  }

  /** The order waits in the target's process, so it dies with that lifetime. */
  private delay<T>(targetId: string, action: Action<T>): void {
    const found = this.reach(targetId);
    const bornMs = found?.entry.bornMs;
    this.base.after(LATE_LEAST_MS + this.random.next() * LATE_SPAN_MS, () => {
      if (found?.isUp && found.entry.bornMs === bornMs) action(found);
    });
  }

  private reach(targetId: string): SimulatedTarget | undefined {
    const target = this.targets.get(targetId);
    if (!target?.isUp || this.faults.cutTargets.has(targetId)) return undefined;
    return target;
  }

  private static unknown(): Result<never, OrderFailure> {
    return err({ kind: 'unknown-outcome', detail: 'silent' });
  }
}
