/**
 * Stand-in for the platform's log service: streams with offsets and retention, and the faults
 * that the real one has: outages, slow answers, answers lost after the append took effect.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Clock } from '@acaciadock/core';
import { type LogRecord } from '@acaciadock/platform';
import { z } from 'zod';
import { HttpStandIn } from './HttpStandIn.js';

const HOLD_POLL_MS = 20;
const appendSchema = z.object({ payloads: z.array(z.unknown()) });

interface Stream {
  firstOffset: number;
  records: LogRecord[];
}

export interface LogFaults {
  /** Connections are cut without an answer and without effect. */
  down: boolean;
  /** Delay before each answer, in milliseconds. */
  slowMs: number;
  /** How many of the next appends take effect and then lose their answer. */
  loseAppendAnswers: number;
  /** How many of the next appends are refused with a typed answer. */
  refuseAppends: number;
}

export class LogStandIn extends HttpStandIn {
  readonly faults: LogFaults = { down: false, slowMs: 0, loseAppendAnswers: 0, refuseAppends: 0 };

  private readonly streams = new Map<string, Stream>();

  private appends = 0;

  constructor(private readonly clock: Clock) {
    super();
  }

  /** Append calls that took effect so far. */
  get appendCount(): number {
    return this.appends;
  }

  /** Expires all records of a stream before `offset`. */
  expireBefore(name: string, offset: number): void {
    const stream = this.stream(name);
    stream.records = stream.records.filter((record) => record.offset >= offset);
    stream.firstOffset = Math.max(stream.firstOffset, offset);
  }

  /** Expires all records older than `retentionMs`. */
  expireOlderThan(retentionMs: number): void {
    const untilMs = this.clock.unixMs() - retentionMs;
    this.streams.forEach((stream, name) => {
      const kept = stream.records.find((record) => record.appendedAtMs >= untilMs);
      this.expireBefore(name, kept?.offset ?? LogStandIn.endOf(stream));
    });
  }

  /** All records of a stream that are still kept. */
  records(name: string): readonly LogRecord[] {
    return this.stream(name).records;
  }

  /** Appends as a service call would, without HTTP. Returns the first offset. */
  append(name: string, payloads: readonly unknown[]): number {
    const stream = this.stream(name);
    const firstOffset = LogStandIn.endOf(stream);
    payloads.forEach((payload, index) => {
      stream.records.push({
        offset: firstOffset + index,
        appendedAtMs: this.clock.unixMs(),
        payload,
      });
    });
    this.appends += 1;
    return firstOffset;
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
    const firstOffset = this.append(name, payloads);
    if (this.faults.loseAppendAnswers > 0) {
      this.faults.loseAppendAnswers -= 1;
      response.destroy();
      return;
    }
    HttpStandIn.send(response, 200, { firstOffset, count: payloads.length });
  }

  private async answerRead(
    name: string,
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const from = Number(query.get('from'));
    const most = Number(query.get('most'));
    const stream = this.stream(name);
    await this.holdWhileEmpty(stream, from, Number(query.get('waitMs')));
    if (this.faults.down) {
      response.destroy();
      return;
    }
    if (from < stream.firstOffset) {
      HttpStandIn.send(response, 410, { firstOffset: stream.firstOffset });
      return;
    }
    const skip = from - stream.firstOffset;
    const records = stream.records.slice(skip, skip + most);
    const endOffset = LogStandIn.endOf(stream);
    HttpStandIn.send(response, 200, { records, nextOffset: from + records.length, endOffset });
  }

  private async holdWhileEmpty(stream: Stream, from: number, waitMs: number): Promise<void> {
    const untilMs = this.clock.monotonicMs() + waitMs;
    while (LogStandIn.endOf(stream) <= from && this.clock.monotonicMs() < untilMs) {
      if (this.faults.down) return;
      await this.clock.sleep(HOLD_POLL_MS);
    }
  }

  private stream(name: string): Stream {
    const known = this.streams.get(name);
    if (known) return known;
    const created: Stream = { firstOffset: 0, records: [] };
    this.streams.set(name, created);
    return created;
  }

  private static endOf(stream: Stream): number {
    return stream.firstOffset + stream.records.length;
  }
}
