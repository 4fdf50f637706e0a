/** The fence of this entry: the membership's rules, read on the monotonic clock at each question. */
import {
  type Clock,
  Disposable,
  EventEmitter,
  type Fence,
  type FenceReason,
} from '@acaciadock/core';

const WATCH_PERIOD_MS = 100;

export class EntryFence extends Disposable implements Fence {
  private readonly changeEmitter = this.register(new EventEmitter<FenceReason | undefined>());

  readonly onChange = this.changeEmitter.event;

  private last: FenceReason | undefined;

  constructor(
    private readonly rules: (nowMs: number) => FenceReason | undefined,
    private readonly clock: Clock,
  ) {
    super();
    this.last = this.reason();
    this.register(clock.every(WATCH_PERIOD_MS, () => this.watch()));
  }

  reason(): FenceReason | undefined {
    return this.rules(this.clock.monotonicMs());
  }

  private watch(): void {
    const reason = this.reason();
    if (reason === this.last) return;
    this.last = reason;
    this.changeEmitter.fire(reason);
  }
}
