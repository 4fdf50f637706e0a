/** An instance control that accepts everything and records the requested checkpoints. */
import { type InstanceId } from '@acaciadock/core';
import { InstanceControl } from '@acaciadock/platform';
import { ok } from 'neverthrow';

export class RecordingControl extends InstanceControl {
  readonly checkpoints: string[] = [];

  override async reboot() {
    return ok('succeeded' as const);
  }

  override async operation() {
    return ok('succeeded' as const);
  }

  override async checkpoint(_: string, instanceId: InstanceId, requestId: string) {
    this.checkpoints.push(`${instanceId} ${requestId}`);
    return ok('running' as const);
  }
}
