/** Asks the entry that holds a claim for its answer, and answers other entries that ask. */
import { type Clock, Disposable, type EntryId } from '@acaciadock/core';
import { type AnswerReply, type PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';
import { type AnswerStore, type KeptEnd } from './AnswerStore.js';
import { type ClaimHolder } from './ClaimTable.js';

/** Larger answers are not sent between entries. */
const MOST_REPLY_BYTES = 8 * 1024 * 1024;

interface OpenQuery {
  readonly settle: (end: KeptEnd) => void;
}

function replyOf(queryId: string, end: KeptEnd): AnswerReply {
  if (end.kind !== 'answered' || end.answer.body.length > MOST_REPLY_BYTES) {
    const state = end.kind === 'not-run' ? 'not-run' : 'no-answer';
    return { kind: 'answer-reply', queryId, state };
  }
  return { kind: 'answer-reply', queryId, state: 'answered', answer: end.answer };
}

function endOf(reply: AnswerReply): KeptEnd {
  if (reply.state !== 'answered') return { kind: reply.state };
  if (!reply.answer) return { kind: 'no-answer' };
  const { statusCode, contentType, body } = reply.answer;
  const bytes = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
  return { kind: 'answered', answer: { statusCode, contentType, body: bytes } };
}

export class AnswerDesk extends Disposable {
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

  /** How the holder's request ended; `no-answer` if it can't be told by `untilMs` (monotonic). */
  ask(holder: ClaimHolder, untilMs: number): Promise<KeptEnd> {
    return new Promise((resolve) => {
      this.nextQuery += 1;
      const queryId = `${this.network.selfEntryId}:${this.nextQuery}`;
      const leftMs = Math.max(0, untilMs - this.clock.monotonicMs());
      const timer = this.clock.after(leftMs, () => this.settle(queryId, { kind: 'no-answer' }));
      const settle = (end: KeptEnd): void => {
        timer.dispose();
        resolve(end);
      };
      this.queries.set(queryId, { settle });
      const { claimId } = holder;
      if (this.network.send(holder.entryId, { kind: 'answer-query', queryId, claimId })) return;
      this.settle(queryId, { kind: 'no-answer' });
    });
  }

  private settle(queryId: string, end: KeptEnd): void {
    const query = this.queries.get(queryId);
    if (!query) return;
    this.queries.delete(queryId);
    query.settle(end);
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    if (message.kind === 'answer-reply') this.settle(message.queryId, endOf(message));
    if (message.kind !== 'answer-query') return;
    const { queryId, claimId } = message;
    this.store.whenEnded(claimId, (end) => this.reply(fromEntryId, queryId, end));
  }

  private reply(toEntryId: EntryId, queryId: string, end: KeptEnd): void {
    this.network.send(toEntryId, replyOf(queryId, end));
  }
}
