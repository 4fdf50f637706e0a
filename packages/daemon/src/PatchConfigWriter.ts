/** Submits the maintenance controller's configuration patches in the same way as an operator's. */
import { type Clock } from '@acaciadock/core';
import { ConfigWriter, type MaintenancePatch, type WriteOutcome } from '@acaciadock/maintenance';
import { type PatchSubmitter } from '@acaciadock/replication';

const AUTHOR = 'maintenance-controller';

export class PatchConfigWriter extends ConfigWriter {
  constructor(
    private readonly submitter: PatchSubmitter,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async write(patch: MaintenancePatch): Promise<WriteOutcome> {
    const outcome = await this.submitter.submit({
      kind: 'patch',
      schemaVersion: 1,
      patchId: patch.patchId,
      baseVersion: patch.baseVersion,
      author: AUTHOR,
      submittedAtMs: this.clock.unixMs(),
      operations: [...patch.operations],
    });
    if (outcome.kind === 'unknown') return { kind: 'unknown' };
    if (outcome.kind !== 'settled') return { kind: 'not-written' };
    const { verdict } = outcome;
    const applied = verdict.kind === 'applied' || verdict.kind === 'repeated';
    return { kind: applied ? 'applied' : 'refused' };
  }
}
