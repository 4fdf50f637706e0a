/**
 * The fence of this entry. Every query evaluates the membership's rules at the current monotonic
 * time; a periodic check fires `onChange` when the result differs from the last one.
 */
import {
  type Clock,
  Disposable,
  EventEmitter,
  type Fence,
  type FenceReason,
} from '@acaciadock/core';

const CHECK_PERIOD_MS = 100;

export class EntryFence extends Disposable implements Fence {
  private readonly changeEmitter = this.register(new EventEmitter<FenceReason | undefined>());

  readonly onChange = this.changeEmitter.event;

  /** The reason at the last periodic check. */
  private lastReason: FenceReason | undefined;

  constructor(
    private readonly evaluate: (nowMs: number) => FenceReason | undefined,
    private readonly clock: Clock,
  ) {
    super();
    this.lastReason = this.reason();
    this.register(clock.every(CHECK_PERIOD_MS, () => this.check()));
  }

  reason(): FenceReason | undefined {
    return this.evaluate(this.clock.monotonicMs());
  }

  private check(): void {
    const reason = this.reason();
    if (reason === this.lastReason) return;
    this.lastReason = reason;
    this.changeEmitter.fire(reason);
  }
}
