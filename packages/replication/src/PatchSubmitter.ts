/**
 * Submits an operator's patch and waits until its own record is read back. An append whose
 * answer was lost is settled by reading, never by guessing: the patch keeps the id that its
 * submitter gave it, so that appending it again has no further effect.
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

const SETTLE_TIMEOUT_MS = 6_000;
/** How long a record is looked for after a lost answer before it is appended again. */
const REPEAT_AFTER_MS = 2_000;
const BURST_APPENDS = 50;
const MOST_DOUBTFUL = 1_000;

export type SubmitOutcome =
  | {
      readonly kind: 'settled';
      readonly verdict: RecordVerdict;
      /** For a stale patch: what came into force after its base version. */
      readonly changesSince?: ChangesSince;
    }
  /**
   * The log did not take the patch, so this submission has no effect. An earlier one under the
   * same id through another entry, if it ended as unknown, may still have.
   */
  | { readonly kind: 'not-appended'; readonly failure: AppendFailure }
  /** It could not be settled in time. Ask for the patch id later, or submit the same again. */
  | { readonly kind: 'unknown'; readonly patchId: string };

/** What this entry knows of a patch id. */
export type PatchStatus =
  | { readonly kind: 'decided'; readonly decision: PatchDecision }
  /** Its record was not read here, up to this offset; or so long ago that it is forgotten. */
  | { readonly kind: 'not-seen'; readonly patchId: string; readonly readUpToOffset: number };

function isAbout(verdict: RecordVerdict, patchId: string): boolean {
  return 'patchId' in verdict && verdict.patchId === patchId;
}

/** One patch on its way. Its submissions under the same id share the outcome. */
interface Pending extends IDisposable {
  readonly outcome: Promise<SubmitOutcome>;
}

export class PatchSubmitter extends Disposable {
  private readonly pending = new Map<string, Pending>();

  /** Ids of patches that ended as unknown here and may yet be read. */
  private readonly doubtful = new Set<string>();

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

  /** How many patches wait for their outcome. */
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
    if (decided) return this.settle(PatchSubmitter.repeatOf(decided), baseVersion);
    const currentVersion = this.follower.state().version;
    if (baseVersion < currentVersion) {
      // Versions only grow: the log would refuse it too.
      const refusal = { kind: 'stale-base', baseVersion, currentVersion } as const;
      return this.settle({ kind: 'refused', patchId, refusal }, baseVersion);
    }
    const retryAfterMs = this.budget.tryTake();
    if (retryAfterMs > 0) {
      return { kind: 'not-appended', failure: { kind: 'log-refused', retryAfterMs } };
    }
    return this.start(record);
  }

  private static repeatOf(decision: PatchDecision): RecordVerdict {
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
        resolve(this.withDoubt(patchId, result));
        release();
      };
      owned.push(
        this.follower.onRecord(({ verdict }) => {
          if (isAbout(verdict, patchId)) end(this.settle(verdict, baseVersion));
        }),
        this.clock.after(SETTLE_TIMEOUT_MS, () => end({ kind: 'unknown', patchId })),
        toDisposable(() => resolve({ kind: 'unknown', patchId })),
      );
      void this.append(record, owned, end);
    });
    this.pending.set(patchId, { outcome, dispose: release });
    return outcome;
  }

  /** A patch that may be in the log from an earlier try is never said to have no effect. */
  private withDoubt(patchId: string, outcome: SubmitOutcome): SubmitOutcome {
    if (outcome.kind === 'settled') this.doubtful.delete(patchId);
    if (outcome.kind === 'unknown') this.doubtful.add(patchId);
    if (this.doubtful.size > MOST_DOUBTFUL) {
      const [oldest] = this.doubtful;
      if (oldest !== undefined) this.doubtful.delete(oldest);
    }
    const doubted = outcome.kind === 'not-appended' && this.doubtful.has(patchId);
    return doubted ? { kind: 'unknown', patchId } : outcome;
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
    const repeat = (): void => {
      void this.log.append(CONFIG_STREAM, [record]);
    };
    owned.push(this.clock.after(REPEAT_AFTER_MS, repeat));
  }
}
