/** A fence that is always open, for deployments with a single entry and for tests. */
import { EventEmitter, Fence, type FenceReason } from '@acaciadock/core';

export class OpenFence extends Fence {
  private readonly changeEmitter = new EventEmitter<FenceReason | undefined>();

  override readonly onChange = this.changeEmitter.event;

  override reason(): FenceReason | undefined {
    return undefined;
  }
}
