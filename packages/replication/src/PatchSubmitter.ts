/**
 * Submits an operator's patch and waits until its record is read back from the log. The outcome of
 * an append whose answer was lost is determined only by reading the log. The patch keeps the id
 * that its submitter chose, so appending it again is idempotent.
 */
import { type Clock, Disposable, type IDisposable, toDisposable } from '@acaciadock/core';
import {
  type ChangesSince,
  type PatchDecision,
  type PatchRecord,
  type RecordVerdict,
} from '@acaciadock/config';
import {
  APPEND_BUDGET_PER_SECOND,
  AppendBudget,
  type AppendFailure,
  CONFIG_STREAM,
  type LogService,
} from '@acaciadock/platform';
import { type ConfigFollower } from './ConfigFollower.js';

/** Time after which the outcome of a patch that was not read back is reported as unknown. */
const SETTLE_TIMEOUT_MS = 6_000;
/** How long to wait for a record to be read, after its append answer was lost, before a retry. */
const RETRY_APPEND_AFTER_MS = 2_000;
const BURST_APPENDS = 50;
/** Bound on the remembered ids of patches whose outcome is unknown; the oldest are evicted. */
const MAX_UNRESOLVED = 1_000;

export type SubmitOutcome =
  | {
      readonly kind: 'settled';
      readonly verdict: RecordVerdict;
      /** For a refused patch: the changes that came into force after its base version. */
      readonly changesSince?: ChangesSince;
    }
  /**
   * The log did not accept the patch, so this submission has no effect. An earlier submission of
   * the same id through another entry, if its outcome was unknown, may still take effect.
   */
  | { readonly kind: 'not-appended'; readonly failure: AppendFailure }
  /** Not settled in time. Query the patch id later, or submit the same patch again. */
  | { readonly kind: 'unknown'; readonly patchId: string };

/** What this entry knows about a patch id. */
export type PatchStatus =
  | { readonly kind: 'decided'; readonly decision: PatchDecision }
  /** Not among the records read up to this offset, or read so long ago that it was evicted. */
  | { readonly kind: 'not-seen'; readonly patchId: string; readonly readUpToOffset: number };

function concernsPatch(verdict: RecordVerdict, patchId: string): boolean {
  return 'patchId' in verdict && verdict.patchId === patchId;
}

/** A patch in flight. Concurrent submissions of the same id share its outcome. */
interface PendingPatch extends IDisposable {
  readonly outcome: Promise<SubmitOutcome>;
}

export class PatchSubmitter extends Disposable {
  private readonly pending = new Map<string, PendingPatch>();

  /** Ids of patches whose outcome was unknown here: their records may still appear in the log. */
  private readonly unresolvedIds = new Set<string>();

  private readonly budget: AppendBudget;

  constructor(
    private readonly log: LogService,
    private readonly follower: ConfigFollower,
    private readonly clock: Clock,
  ) {
    super();
    const appendsPerSecond = APPEND_BUDGET_PER_SECOND[CONFIG_STREAM];
    this.budget = new AppendBudget({ appendsPerSecond, burstAppends: BURST_APPENDS }, clock);
    this.register(toDisposable(() => this.pending.forEach((patch) => patch.dispose())));
  }

  /** The number of patches in flight. */
  get pendingCount(): number {
    return this.pending.size;
  }

  status(patchId: string): PatchStatus {
    const decision = this.follower.decision(patchId);
    if (decision) return { kind: 'decided', decision };
    return { kind: 'not-seen', patchId, readUpToOffset: this.follower.state().offset };
  }

  async submit(record: PatchRecord): Promise<SubmitOutcome> {
    const { patchId, baseVersion } = record;
    const running = this.pending.get(patchId);
    if (running) return running.outcome;
    const decided = this.follower.decision(patchId);
    if (decided) return this.settle(PatchSubmitter.repeatedVerdict(decided), baseVersion);
    const currentVersion = this.follower.state().version;
    if (baseVersion < currentVersion) {
      // Versions never decrease, so the patch would also be refused when read from the log.
      const refusal = { kind: 'stale-base', baseVersion, currentVersion } as const;
      return this.settle({ kind: 'refused', patchId, refusal }, baseVersion);
    }
    const retryAfterMs = this.budget.tryTake();
    if (retryAfterMs > 0) {
      return { kind: 'not-appended', failure: { kind: 'log-refused', retryAfterMs } };
    }
    return this.start(record);
  }

  private static repeatedVerdict(decision: PatchDecision): RecordVerdict {
    const { patchId } = decision;
    if ('version' in decision) return { kind: 'repeated', patchId, version: decision.version };
    const refusal = { kind: 'refused-before', first: decision.refusal } as const;
    return { kind: 'refused', patchId, refusal };
  }

  private settle(verdict: RecordVerdict, baseVersion: number): SubmitOutcome {
    if (verdict.kind !== 'refused') return { kind: 'settled', verdict };
    return { kind: 'settled', verdict, changesSince: this.follower.changesSince(baseVersion) };
  }

  private start(record: PatchRecord): Promise<SubmitOutcome> {
    const { patchId, baseVersion } = record;
    const owned: IDisposable[] = [];
    const release = (): void => {
      owned.forEach((item) => item.dispose());
      this.pending.delete(patchId);
    };
    const outcome = new Promise<SubmitOutcome>((resolve) => {
      const end = (result: SubmitOutcome): void => {
        resolve(this.accountForUnresolved(patchId, result));
        release();
      };
      owned.push(
        this.follower.onRecord(({ verdict }) => {
          if (concernsPatch(verdict, patchId)) end(this.settle(verdict, baseVersion));
        }),
        this.clock.after(SETTLE_TIMEOUT_MS, () => end({ kind: 'unknown', patchId })),
        toDisposable(() => resolve({ kind: 'unknown', patchId })),
      );
      void this.append(record, owned, end);
    });
    this.pending.set(patchId, { outcome, dispose: release });
    return outcome;
  }

  /**
   * Turns `not-appended` into `unknown` if an earlier attempt with the same id may still be in the
   * log: such a patch must not be reported as having no effect.
   */
  private accountForUnresolved(patchId: string, outcome: SubmitOutcome): SubmitOutcome {
    if (outcome.kind === 'settled') this.unresolvedIds.delete(patchId);
    if (outcome.kind === 'unknown') this.unresolvedIds.add(patchId);
    if (this.unresolvedIds.size > MAX_UNRESOLVED) {
      const [oldest] = this.unresolvedIds;
      if (oldest !== undefined) this.unresolvedIds.delete(oldest);
    }
    const mayBeAppended = outcome.kind === 'not-appended' && this.unresolvedIds.has(patchId);
    return mayBeAppended ? { kind: 'unknown', patchId } : outcome;
  }

  private async append(
    record: PatchRecord,
    owned: IDisposable[],
    end: (result: SubmitOutcome) => void,
  ): Promise<void> {
    const appended = await this.log.append(CONFIG_STREAM, [record]);
    if (!this.pending.has(record.patchId) || appended.isOk()) return;
    if (appended.error.kind !== 'append-unknown') {
      end({ kind: 'not-appended', failure: appended.error });
      return;
    }
    const retryAppend = (): void => {
      void this.log.append(CONFIG_STREAM, [record]);
    };
    owned.push(this.clock.after(RETRY_APPEND_AFTER_MS, retryAppend));
  }
}
