/** Implements `LogService` with the platform's HTTP interface. */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { type CallAnswer, type HttpPlatformClient } from './HttpPlatformClient.js';
import {
  type AppendFailure,
  type AppendReceipt,
  type LogPage,
  LogService,
  type ReadFailure,
  type ReadRequest,
} from './LogService.js';

const DEFAULT_RETRY_AFTER_MS = 200;

const receiptSchema = z.object({ firstOffset: z.int().min(0), count: z.int().min(0) });
const pageSchema = z.object({
  records: z.array(
    z.object({ offset: z.int().min(0), appendedAtMs: z.int(), payload: z.unknown() }),
  ),
  nextOffset: z.int().min(0),
  endOffset: z.int().min(0),
});
const expiredSchema = z.object({ firstOffset: z.int().min(0) });
const refusedSchema = z.object({ retryAfterMs: z.number().min(0) });

export interface HttpLogOptions {
  /** Timeout of an append, in milliseconds. */
  readonly appendTimeoutMs: number;
  /** Added to the `waitMs` of a long poll to get the timeout of a read, in milliseconds. */
  readonly readSlackMs: number;
}

const DEFAULTS: HttpLogOptions = { appendTimeoutMs: 3_000, readSlackMs: 3_000 };

export class HttpLogService extends LogService {
  constructor(
    private readonly client: HttpPlatformClient,
    private readonly options: HttpLogOptions = DEFAULTS,
  ) {
    super();
  }

  override async append(
    stream: string,
    payloads: readonly unknown[],
  ): Promise<Result<AppendReceipt, AppendFailure>> {
    const path = `/streams/${encodeURIComponent(stream)}/records`;
    const body = { payloads };
    const answer = await this.client.call({
      method: 'POST',
      path,
      body,
      timeoutMs: this.options.appendTimeoutMs,
    });
    if (answer.isErr()) {
      return err({
        kind: answer.error.kind === 'unreachable' ? 'log-unreachable' : 'append-unknown',
      });
    }
    return HttpLogService.receipt(answer.value);
  }

  override async read(request: ReadRequest): Promise<Result<LogPage, ReadFailure>> {
    const query = new URLSearchParams({
      from: String(request.fromOffset),
      most: String(request.maxRecords),
      waitMs: String(request.waitMs),
    });
    const path = `/streams/${encodeURIComponent(request.stream)}/records?${query.toString()}`;
    const timeoutMs = request.waitMs + this.options.readSlackMs;
    const answer = await this.client.call({ method: 'GET', path, timeoutMs });
    if (answer.isErr() && answer.error.kind === 'malformed') {
      return err({ kind: 'log-malformed', detail: answer.error.detail });
    }
    if (answer.isErr()) return err({ kind: 'log-unreachable' });
    return HttpLogService.page(answer.value);
  }

  private static receipt(answer: CallAnswer): Result<AppendReceipt, AppendFailure> {
    if (answer.statusCode >= 500) return err({ kind: 'append-unknown' });
    if (answer.statusCode >= 400) {
      const refused = refusedSchema.safeParse(answer.body);
      const retryAfterMs = refused.success ? refused.data.retryAfterMs : DEFAULT_RETRY_AFTER_MS;
      return err({ kind: 'log-refused', retryAfterMs });
    }
    const receipt = receiptSchema.safeParse(answer.body);
    if (!receipt.success) return err({ kind: 'append-unknown' });
    return ok(receipt.data);
  }

  private static page(answer: CallAnswer): Result<LogPage, ReadFailure> {
    if (answer.statusCode === 410) {
      const expired = expiredSchema.safeParse(answer.body);
      if (!expired.success) return err({ kind: 'log-malformed', detail: expired.error.message });
      return err({ kind: 'offset-expired', firstOffset: expired.data.firstOffset });
    }
    if (answer.statusCode !== 200) return err({ kind: 'log-unreachable' });
    const page = pageSchema.safeParse(answer.body);
    if (!page.success) return err({ kind: 'log-malformed', detail: page.error.message });
    return ok(page.data);
  }
}
