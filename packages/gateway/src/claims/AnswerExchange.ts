/** Queries the answers of claims from the entries that hold them, and replies to such queries. */
import { type Clock, Disposable, type EntryId, type IDisposable } from '@acaciadock/core';
import { type AnswerReply, type PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';
import { type AnswerStore, type KeptEnd } from './AnswerStore.js';
import { type ClaimHolder } from './ClaimTable.js';

/** Larger answers are not sent between entries; the reply is `no-answer` instead. */
const MAX_REPLY_BYTES = 8 * 1024 * 1024;

/** A holder that does not send its first reply within this time is considered gone. */
const FIRST_REPLY_TIMEOUT_MS = 1_000;

interface OpenQuery {
  readonly settle: (end: KeptEnd) => void;
  readonly untilMs: number;
  timer: IDisposable;
}

const NO_ANSWER: KeptEnd = { kind: 'no-answer' };

function replyOf(queryId: string, end: KeptEnd): AnswerReply {
  if (end.kind !== 'answered' || end.answer.body.length > MAX_REPLY_BYTES) {
    const state = end.kind === 'not-run' ? 'not-run' : 'no-answer';
    return { kind: 'answer-reply', queryId, state };
  }
  return { kind: 'answer-reply', queryId, state: 'answered', answer: end.answer };
}

function endOf(reply: AnswerReply): KeptEnd {
  if (reply.state === 'not-run') return { kind: 'not-run' };
  if (reply.state !== 'answered' || !reply.answer) return NO_ANSWER;
  const { statusCode, contentType, body } = reply.answer;
  const bytes = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
  return { kind: 'answered', answer: { statusCode, contentType, body: bytes } };
}

export class AnswerExchange extends Disposable {
  private readonly queries = new Map<string, OpenQuery>();

  private nextQuery = 0;

  constructor(
    private readonly store: AnswerStore,
    private readonly network: PeerNetwork,
    private readonly clock: Clock,
  ) {
    super();
    this.register(network.onMessage((received) => this.receive(received)));
  }

  /** Queries how the holder's request ended; `no-answer` if unknown at `untilMs` (monotonic). */
  queryEnd(holder: ClaimHolder, untilMs: number): Promise<KeptEnd> {
    return new Promise((settle) => {
      this.nextQuery += 1;
      const queryId = `${this.network.selfEntryId}:${this.nextQuery}`;
      const firstUntilMs = Math.min(untilMs, this.clock.monotonicMs() + FIRST_REPLY_TIMEOUT_MS);
      const timer = this.expireAt(queryId, firstUntilMs);
      this.queries.set(queryId, { settle, untilMs, timer });
      const { claimId } = holder;
      if (this.network.send(holder.entryId, { kind: 'answer-query', queryId, claimId })) return;
      this.settle(queryId, NO_ANSWER);
    });
  }

  private expireAt(queryId: string, untilMs: number): IDisposable {
    const leftMs = Math.max(0, untilMs - this.clock.monotonicMs());
    return this.clock.after(leftMs, () => this.settle(queryId, NO_ANSWER));
  }

  /** The holder is alive and its request still runs, so the query waits until its own limit. */
  private extend(queryId: string): void {
    const query = this.queries.get(queryId);
    if (!query) return;
    query.timer.dispose();
    query.timer = this.expireAt(queryId, query.untilMs);
  }

  private settle(queryId: string, end: KeptEnd): void {
    const query = this.queries.get(queryId);
    if (!query) return;
    this.queries.delete(queryId);
    query.timer.dispose();
    query.settle(end);
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    if (message.kind === 'answer-reply') this.handleReply(message);
    if (message.kind !== 'answer-query') return;
    const { queryId, claimId } = message;
    if (this.store.isRunning(claimId)) {
      this.network.send(fromEntryId, { kind: 'answer-reply', queryId, state: 'running' });
    }
    this.store.whenEnded(claimId, (end) => this.reply(fromEntryId, queryId, end));
  }

  private handleReply(reply: AnswerReply): void {
    if (reply.state === 'running') this.extend(reply.queryId);
    else this.settle(reply.queryId, endOf(reply));
  }

  private reply(toEntryId: EntryId, queryId: string, end: KeptEnd): void {
    this.network.send(toEntryId, replyOf(queryId, end));
  }
}
