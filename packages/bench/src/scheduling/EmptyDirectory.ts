/** The instance directory in the fleet model: an empty list, so no instance is leaving. */
import { InstanceDirectory } from '@acaciadock/platform';
import { ok } from 'neverthrow';

export class EmptyDirectory extends InstanceDirectory {
  override async list() {
    return ok({ observedAtMs: 0, instances: [] });
  }
}
