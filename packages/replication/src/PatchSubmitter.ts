/**
 * Submits an operator's patch and waits until its own record is read back. An append whose
 * answer was lost is settled by reading, never by guessing.
 */
import { type Clock, Disposable } from '@acaciadock/core';
import { type PatchRecord, type RecordVerdict } from '@acaciadock/config';
import { type AppendFailure, CONFIG_STREAM, type LogService } from '@acaciadock/platform';
import { type ConfigFollower } from './ConfigFollower.js';

const SETTLE_TIMEOUT_MS = 6_000;

export type SubmitOutcome =
  | { readonly kind: 'settled'; readonly verdict: RecordVerdict }
  /** The log did not take the patch. */
  | { readonly kind: 'not-appended'; readonly failure: AppendFailure }
  /** It could not be settled in time. Ask again with the same patch id. */
  | { readonly kind: 'unknown'; readonly patchId: string };

function isAbout(verdict: RecordVerdict, patchId: string): boolean {
  return 'patchId' in verdict && verdict.patchId === patchId;
}

export class PatchSubmitter extends Disposable {
  constructor(
    private readonly log: LogService,
    private readonly follower: ConfigFollower,
    private readonly clock: Clock,
  ) {
    super();
  }

  async submit(record: PatchRecord): Promise<SubmitOutcome> {
    const settled = this.waitFor(record.patchId);
    const appended = await this.log.append(CONFIG_STREAM, [record]);
    if (appended.isErr() && appended.error.kind !== 'append-unknown') {
      return { kind: 'not-appended', failure: appended.error };
    }
    return settled;
  }

  private waitFor(patchId: string): Promise<SubmitOutcome> {
    return new Promise((resolve) => {
      const subscription = this.follower.onRecord(({ verdict }) => {
        if (!isAbout(verdict, patchId)) return;
        subscription.dispose();
        resolve({ kind: 'settled', verdict });
      });
      this.clock.after(SETTLE_TIMEOUT_MS, () => {
        subscription.dispose();
        resolve({ kind: 'unknown', patchId });
      });
    });
  }
}
