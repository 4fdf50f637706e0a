/**
 * One HTTP request to one target, as an undici dispatch handler. undici calls `onRequestStart` in
 * the same event-loop turn in which it writes the first byte, right before it: a failure before
 * that call has sent nothing, a later one may have. An answer is accepted only if it is complete
 * and echoes the request id. It is complete if its body has the declared length, or if it ended
 * with its last chunk on a connection that stays open.
 */
import { type IDisposable, type Clock } from '@acaciadock/core';
import { type Dispatcher } from 'undici';
import { type AnswerCounts } from './AnswerCounts.js';
import { CallEnded } from './CallEnded.js';
import { type OpenRuns } from './OpenRuns.js';
import { type SendBlock, type TargetEnd } from './TargetEnd.js';
import { type TargetRun } from './TargetRun.js';

const CONTENT_LENGTH = /^\d{1,15}$/;

type Controller = Dispatcher.DispatchController;
type Headers = Record<string, string | string[] | undefined>;

function headerOf(headers: Headers, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

export class TargetCall implements Dispatcher.DispatchHandler {
  private controller: Controller | undefined;

  private started = false;

  private ended = false;

  private statusCode = 0;

  private headers: Headers = {};

  private chunks: Buffer[] = [];

  private bytes = 0;

  private firstByteSeen = false;

  /** The target reported that it did not run the work, so the rest of the answer is ignored. */
  private refused = false;

  private timer: IDisposable | undefined;

  constructor(
    private readonly run: TargetRun,
    private readonly counts: AnswerCounts,
    private readonly clock: Clock,
    private readonly runs: OpenRuns,
  ) {}

  /** Whether the target has started to answer. */
  get hasFirstByte(): boolean {
    return this.firstByteSeen;
  }

  /** Aborts the call. Anything that arrives later is dropped. */
  abort(): void {
    if (this.ended) return;
    this.endAndAbort(this.started ? { kind: 'aborted' } : TargetCall.blocked('request-ended'));
  }

  onRequestStart(controller: Controller): void {
    this.controller = controller;
    if (this.ended || this.started) {
      // undici would send the request a second time.
      this.endAndAbort({ kind: 'incomplete' });
      return;
    }
    const block = this.run.mayStart();
    if (block) {
      this.endAndAbort(TargetCall.blocked(block));
      return;
    }
    this.started = true;
    this.run.onStart();
    if (this.run.endsAtMs === undefined) return;
    const leftMs = this.run.endsAtMs - this.clock.unixMs();
    this.timer = this.clock.after(Math.max(0, leftMs), () => this.expire());
  }

  onResponseStart(controller: Controller, statusCode: number, headers: Headers): void {
    if (this.ended || statusCode < 200) return;
    this.firstByteSeen = true;
    this.statusCode = statusCode;
    this.headers = headers;
    if (headerOf(headers, 'x-request-id') === this.run.requestId) {
      this.refused = headerOf(headers, 'x-executed') === 'no';
      return;
    }
    this.counts.crossed += 1;
    this.endAndAbort({ kind: 'crossed' });
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    if (this.ended) return;
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    if (this.bytes <= this.run.maxAnswerBytes) return;
    this.counts.oversize += 1;
    this.endAndAbort({ kind: 'too-large' });
  }

  onResponseEnd(): void {
    if (this.ended) {
      this.counts.late += 1;
      return;
    }
    if (this.refused) {
      this.finish({ kind: 'refused' });
      return;
    }
    if (!this.isComplete()) {
      this.counts.incomplete += 1;
      this.finish({ kind: 'incomplete' });
      return;
    }
    this.finish(this.endOfAnswer());
  }

  onResponseError(controller: Controller | undefined, error: Error): void {
    if (this.ended) return;
    if (!this.started) {
      this.finish({ kind: 'unreachable' });
      return;
    }
    if (this.refused) {
      this.finish({ kind: 'refused' });
      return;
    }
    if ('code' in error && error.code === 'UND_ERR_BODY_TIMEOUT') {
      this.finish({ kind: 'stalled' });
      return;
    }
    if (this.firstByteSeen) this.counts.incomplete += 1;
    this.finish({ kind: 'incomplete' });
  }

  private static blocked(block: SendBlock): TargetEnd {
    return { kind: 'not-started', block };
  }

  private endOfAnswer(): TargetEnd {
    const { statusCode } = this;
    if (statusCode >= 500) return { kind: 'failed', statusCode };
    if (statusCode >= 300) return { kind: 'rejected', statusCode };
    const contentType = headerOf(this.headers, 'content-type');
    const [only] = this.chunks;
    const body = this.chunks.length === 1 && only ? only : Buffer.concat(this.chunks);
    return { kind: 'answered', answer: { statusCode, contentType, body } };
  }

  /**
   * If a body ends because its connection closes, undici reports it as complete even if it was
   * truncated, chunked or not. So an answer must have a length, or be chunked on a connection that
   * is kept alive.
   */
  private isComplete(): boolean {
    const length = headerOf(this.headers, 'content-length');
    if (length !== '') return CONTENT_LENGTH.test(length) && Number(length) === this.bytes;
    if (this.statusCode === 204) return true;
    const chunked = headerOf(this.headers, 'transfer-encoding').toLowerCase() === 'chunked';
    return chunked && headerOf(this.headers, 'connection').toLowerCase() !== 'close';
  }

  private expire(): void {
    if (this.ended) return;
    this.endAndAbort({ kind: this.firstByteSeen ? 'stalled' : 'no-first-byte' });
  }

  /** Ends the call and closes its connection, so that no late bytes reach another request. */
  private endAndAbort(end: TargetEnd): void {
    this.finish(end);
    this.controller?.abort(new CallEnded());
  }

  private finish(end: TargetEnd): void {
    if (this.ended) return;
    this.ended = true;
    this.timer?.dispose();
    this.chunks = [];
    this.runs.end(this.run);
    this.run.onEnd(end);
  }
}
