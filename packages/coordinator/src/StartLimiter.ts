/**
 * Limits the start orders that are in flight, in all and for each target. It answers the load just
 * after a change of owner in a busy turn, when hundreds of tasks become placeable at once: the time
 * limit of an order runs from when it is handed to the connection, so orders that wait for their turn
 * there time out, although nothing is wrong with their targets. Each such order has an unknown outcome
 * and costs a report, a stop and another start, which keeps the process too busy for the next orders.
 */
import { Disposable } from '@acaciadock/core';
import pLimit, { type LimitFunction } from 'p-limit';

/**
 * Start orders in flight. An order takes about a millisecond of processor time, so all of them are
 * answered within a quarter of the time limit of an order (250 ms).
 */
const MAX_IN_FLIGHT = 64;

/** Start orders in flight to one target: of its four connections, two are left for reports and stops. */
const MAX_PER_TARGET = 2;

export class StartLimiter extends Disposable {
  private readonly all = pLimit(MAX_IN_FLIGHT);

  private readonly byTarget = new Map<string, LimitFunction>();

  /** Calls `start` once the order may be sent; a target's orders keep their order. */
  run(targetId: string, start: () => Promise<void>): Promise<void> {
    const ofTarget = this.byTarget.get(targetId) ?? pLimit(MAX_PER_TARGET);
    this.byTarget.set(targetId, ofTarget);
    return ofTarget(() => this.all(async () => (this.isDisposed ? undefined : start())));
  }

  /** Forgets a target; orders that wait for it are still run. */
  forget(targetId: string): void {
    this.byTarget.delete(targetId);
  }
}
