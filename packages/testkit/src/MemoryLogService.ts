/**
 * A log service without HTTP, for tests in virtual time. Each instance is one client's connection
 * to a shared store, with faults of its own.
 */
import { type Clock } from '@acaciadock/core';
import {
  type AppendFailure,
  type AppendReceipt,
  type LogPage,
  LogService,
  type ReadFailure,
  type ReadRequest,
} from '@acaciadock/platform';
import { err, ok, type Result } from 'neverthrow';
import { type LogStore } from './LogStore.js';

const REFUSED_RETRY_AFTER_MS = 100;

/** Time after which the simulated client stops waiting for a lost answer to an append. */
const ANSWER_TIMEOUT_MS = 3_000;

export interface LogConnectionFaults {
  /** Calls fail as unreachable; an append that is already under way ends as unknown. */
  down: boolean;
  /** Delay before a call takes effect, and again before its answer, in milliseconds. */
  delayMs: number;
  /** Number of following appends that take effect but whose answer is lost. */
  loseAppendAnswers: number;
  /** Number of following appends that are refused. */
  refuseAppends: number;
}

export class MemoryLogService extends LogService {
  readonly faults: LogConnectionFaults = {
    down: false,
    delayMs: 0,
    loseAppendAnswers: 0,
    refuseAppends: 0,
  };

  constructor(
    private readonly store: LogStore,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async append(
    stream: string,
    payloads: readonly unknown[],
  ): Promise<Result<AppendReceipt, AppendFailure>> {
    if (this.faults.down) return err({ kind: 'log-unreachable' });
    await this.delay();
    if (this.faults.refuseAppends > 0) {
      this.faults.refuseAppends -= 1;
      return err({ kind: 'log-refused', retryAfterMs: REFUSED_RETRY_AFTER_MS });
    }
    // Copied through JSON, as over HTTP, so that readers share no objects with the writer.
    const firstOffset = this.store.append(
      stream,
      JSON.parse(JSON.stringify(payloads)) as unknown[],
    );
    await this.delay();
    if (this.faults.loseAppendAnswers === 0 && !this.faults.down) {
      return ok({ firstOffset, count: payloads.length });
    }
    if (this.faults.loseAppendAnswers > 0) this.faults.loseAppendAnswers -= 1;
    await this.clock.sleep(ANSWER_TIMEOUT_MS);
    return err({ kind: 'append-unknown' });
  }

  override async read(request: ReadRequest): Promise<Result<LogPage, ReadFailure>> {
    const { stream, fromOffset, maxRecords, waitMs } = request;
    if (this.faults.down) return err({ kind: 'log-unreachable' });
    await this.delay();
    await this.store.waitFor(stream, fromOffset, waitMs);
    const page = this.store.read(stream, fromOffset, maxRecords);
    await this.delay();
    if (this.faults.down) return err({ kind: 'log-unreachable' });
    if ('kind' in page) return err(page);
    return ok(page);
  }

  private async delay(): Promise<void> {
    if (this.faults.delayMs > 0) await this.clock.sleep(this.faults.delayMs);
  }
}
