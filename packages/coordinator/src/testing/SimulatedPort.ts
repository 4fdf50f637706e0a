/**
 * Simulated network between one entry and the targets, with partitions, lost answers and delayed
 * orders.
 */
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
const MIN_LATE_MS = 2_000;
const LATE_SPAN_MS = 10_000;
const END_POLL_MS = 10;

export interface PortFaults {
  /** Ids of targets that this entry can't reach. */
  readonly cutTargets: Set<string>;
  /** Fraction of orders and report requests that get no answer and are executed 2 to 12 s later. */
  lateOrderShare: number;
}

type Action<T> = (target: SimulatedTarget) => Result<T, OrderFailure>;

export class SimulatedPort extends TargetPort {
  /** Number of reports that were requested. */
  holdCount = 0;

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
    this.holdCount += 1;
    return new Promise((resolve) => {
      const untilMs = this.base.monotonicMs() + request.waitMs;
      const answer = (result: Result<HoldReport, OrderFailure>): void =>
        this.clock.fire(() => resolve(result));
      const poll = (): void => {
        const found = this.findReachable(target.targetId);
        if (!found) {
          this.base.after(ORDER_TIMEOUT_MS, () => answer(SimulatedPort.unknown()));
          return;
        }
        const isDue =
          found.hasUnseenEnds(request.lastSeenEnd) || this.base.monotonicMs() >= untilMs;
        if (isDue) answer(found.hold(request));
        else this.base.after(END_POLL_MS, poll);
      };
      if (this.random.chance(this.faults.lateOrderShare)) {
        this.delay(target.targetId, (found) => found.hold(request));
        this.base.after(request.waitMs + ORDER_TIMEOUT_MS, () => answer(SimulatedPort.unknown()));
        return;
      }
      this.base.after(LATENCY_MS, () => {
        // The lease and the acknowledgement take effect when the request arrives.
        this.findReachable(target.targetId)?.hold(request);
        poll();
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
    // The simulation keeps no connections.
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
        const found = this.findReachable(target.targetId);
        if (!found) this.base.after(ORDER_TIMEOUT_MS, () => answer(SimulatedPort.unknown()));
        else answer(action(found));
      });
    });
  }

  /** Delays an order inside the target's process, so that it is lost when that lifetime ends. */
  private delay<T>(targetId: string, action: Action<T>): void {
    const found = this.findReachable(targetId);
    const bornMs = found?.entry.bornMs;
    this.base.after(MIN_LATE_MS + this.random.next() * LATE_SPAN_MS, () => {
      if (found?.isUp && found.entry.bornMs === bornMs) action(found);
    });
  }

  private findReachable(targetId: string): SimulatedTarget | undefined {
    const target = this.targets.get(targetId);
    if (!target?.isUp || this.faults.cutTargets.has(targetId)) return undefined;
    return target;
  }

  private static unknown(): Result<never, OrderFailure> {
    return err({ kind: 'unknown-outcome', detail: 'silent' });
  }
}
