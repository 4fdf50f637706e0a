/** The platform's list in the fleet model: nothing leaves. */
import { InstanceDirectory } from '@acaciadock/platform';
import { ok } from 'neverthrow';

export class EmptyDirectory extends InstanceDirectory {
  override async list() {
    return ok({ observedAtMs: 0, instances: [] });
  }
}
