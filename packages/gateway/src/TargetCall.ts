/**
 * One send to one target as undici's handler. undici calls `onRequestStart` in the same turn and
 * right before it writes the first byte; what fails earlier has sent nothing, what fails later
 * may have. An answer counts only if it is whole: its length or its chunked end was seen on a
 * connection that stays open, and it echoes the request's id.
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

  /** The target said that it did not run the work; the rest of the answer adds nothing. */
  private refused = false;

  private timer: IDisposable | undefined;

  constructor(
    private readonly run: TargetRun,
    private readonly counts: AnswerCounts,
    private readonly clock: Clock,
    private readonly runs: OpenRuns,
  ) {}

  /** Whether the target has begun to answer. */
  get hasFirstByte(): boolean {
    return this.firstByteSeen;
  }

  /** Gives the call up. What arrives later is dropped. */
  abort(): void {
    if (this.ended) return;
    this.cut(this.started ? { kind: 'aborted' } : TargetCall.blocked('request-ended'));
  }

  onRequestStart(controller: Controller): void {
    this.controller = controller;
    if (this.ended || this.started) {
      // A second start would be a second send.
      this.cut({ kind: 'incomplete' });
      return;
    }
    const block = this.run.mayStart();
    if (block) {
      this.cut(TargetCall.blocked(block));
      return;
    }
    this.started = true;
    this.run.onStart();
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
    this.cut({ kind: 'crossed' });
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    if (this.ended) return;
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    if (this.bytes <= this.run.maxAnswerBytes) return;
    this.counts.oversize += 1;
    this.cut({ kind: 'too-large' });
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
    if (!this.isWhole()) {
      this.counts.short += 1;
      this.finish({ kind: 'incomplete' });
      return;
    }
    this.finish(this.answerEnd());
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
    if (this.firstByteSeen) this.counts.short += 1;
    this.finish({ kind: 'incomplete' });
  }

  private static blocked(block: SendBlock): TargetEnd {
    return { kind: 'not-started', block };
  }

  private answerEnd(): TargetEnd {
    const { statusCode } = this;
    if (statusCode >= 500) return { kind: 'failed', statusCode };
    if (statusCode >= 300) return { kind: 'rejected', statusCode };
    const contentType = headerOf(this.headers, 'content-type');
    const [only] = this.chunks;
    const body = this.chunks.length === 1 && only ? only : Buffer.concat(this.chunks);
    return { kind: 'answered', answer: { statusCode, contentType, body } };
  }

  /**
   * A body that ends with its connection looks whole to undici wherever it is cut, with or
   * without chunks. So an answer needs its length, or chunks on a connection that is kept.
   */
  private isWhole(): boolean {
    const length = headerOf(this.headers, 'content-length');
    if (length !== '') return CONTENT_LENGTH.test(length) && Number(length) === this.bytes;
    if (this.statusCode === 204) return true;
    const chunked = headerOf(this.headers, 'transfer-encoding').toLowerCase() === 'chunked';
    return chunked && headerOf(this.headers, 'connection').toLowerCase() !== 'close';
  }

  private expire(): void {
    if (this.ended) return;
    this.cut({ kind: this.firstByteSeen ? 'stalled' : 'no-first-byte' });
  }

  /** Ends the call and its connection, so that nothing of it can reach another request. */
  private cut(end: TargetEnd): void {
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
