/** An instance directory whose list is set by the test. */
import { type InstanceId } from '@acaciadock/core';
import { InstanceDirectory, type InstanceList, type ListedInstance } from '@acaciadock/platform';
import { err, ok } from 'neverthrow';

export class ListedDirectory extends InstanceDirectory {
  listed: ListedInstance[] = [];

  failing = false;

  setLeaving(...instanceIds: readonly InstanceId[]): void {
    this.listed = instanceIds.map((instanceId) => ({
      instanceId,
      role: 'target',
      state: 'leaving',
    }));
  }

  override async list() {
    if (this.failing) return err({ kind: 'directory-unreachable' as const });
    const list: InstanceList = { observedAtMs: 0, instances: this.listed };
    return ok(list);
  }
}
