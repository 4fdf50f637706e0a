/**
 * Stand-in for the platform's log service: streams with offsets and retention. It can be made to
 * fail as the real service does: outages, slow answers, and answers lost after the append took
 * effect.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Clock } from '@acaciadock/core';
import { type LogRecord } from '@acaciadock/platform';
import { z } from 'zod';
import { AnswerFaults } from './AnswerFaults.js';
import { HttpStandIn } from './HttpStandIn.js';
import { LogStore } from './LogStore.js';

const appendSchema = z.object({ payloads: z.array(z.unknown()) });

export interface LogFaults {
  /** Connections are closed without an answer and without effect. */
  down: boolean;
  /** Delay before each call takes effect, in milliseconds. */
  slowMs: number;
  /** Number of following appends that take effect but whose answer is lost. */
  loseAppendAnswers: number;
  /** Number of following appends that are refused with status 429. */
  refuseAppends: number;
}

export class LogStandIn extends HttpStandIn {
  readonly faults: LogFaults = {
    down: false,
    slowMs: 0,
    loseAppendAnswers: 0,
    refuseAppends: 0,
  };

  /** Faults in the answers to appends and reads that have taken effect. */
  readonly answers: AnswerFaults;

  constructor(
    private readonly clock: Clock,
    /** Stand-ins that share a store are separate endpoints of the same log. */
    readonly store = new LogStore(clock),
  ) {
    super();
    this.answers = new AnswerFaults(clock);
  }

  /** Number of append calls that have taken effect. */
  get appendCount(): number {
    return this.store.appendCount;
  }

  /** How long a record is kept, in milliseconds. */
  set retentionMs(retentionMs: number) {
    this.store.retentionMs = retentionMs;
  }

  /** Expires all records of a stream before `offset`. */
  expireBefore(name: string, offset: number): void {
    this.store.expireBefore(name, offset);
  }

  /** Expires all records older than `ageMs`. */
  expireOlderThan(ageMs: number): void {
    this.store.expireOlderThan(ageMs);
  }

  /** All records of a stream that have not expired. */
  records(name: string): readonly LogRecord[] {
    return this.store.records(name);
  }

  /** Appends directly, without HTTP and without faults. Returns the first offset. */
  append(name: string, payloads: readonly unknown[]): number {
    return this.store.append(name, payloads);
  }

  protected override async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.faults.down) {
      response.destroy();
      return;
    }
    if (this.faults.slowMs > 0) await this.clock.sleep(this.faults.slowMs);
    const url = new URL(request.url ?? '/', 'http://log');
    const name = decodeURIComponent(/^\/streams\/([^/]+)\/records$/.exec(url.pathname)?.[1] ?? '');
    if (name === '') HttpStandIn.send(response, 404, {});
    else if (request.method === 'POST') await this.answerAppend(name, request, response);
    else await this.answerRead(name, url.searchParams, response);
  }

  private async answerAppend(
    name: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { payloads } = appendSchema.parse(await HttpStandIn.readJson(request));
    if (this.faults.refuseAppends > 0) {
      this.faults.refuseAppends -= 1;
      HttpStandIn.send(response, 429, { retryAfterMs: 100 });
      return;
    }
    const firstOffset = this.store.append(name, payloads);
    if (this.faults.loseAppendAnswers > 0) {
      this.faults.loseAppendAnswers -= 1;
      response.destroy();
      return;
    }
    await this.answers.send(response, 200, { firstOffset, count: payloads.length });
  }

  private async answerRead(
    name: string,
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const from = Number(query.get('from'));
    await this.store.waitFor(name, from, Number(query.get('waitMs')));
    if (this.faults.down) {
      response.destroy();
      return;
    }
    const page = this.store.read(name, from, Number(query.get('most')));
    if ('kind' in page) {
      await this.answers.send(response, 410, { firstOffset: page.firstOffset });
      return;
    }
    await this.answers.send(response, 200, page);
  }
}
