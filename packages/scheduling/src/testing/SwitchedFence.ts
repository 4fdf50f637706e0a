/** A fence whose state is set by the test. */
import { EventEmitter, Fence, type FenceReason } from '@acaciadock/core';

export class SwitchedFence extends Fence {
  private readonly emitter = new EventEmitter<FenceReason | undefined>();

  override readonly onChange = this.emitter.event;

  private closedFor: FenceReason | undefined;

  override reason(): FenceReason | undefined {
    return this.closedFor;
  }

  set(reason: FenceReason | undefined): void {
    this.closedFor = reason;
    this.emitter.fire(reason);
  }
}
