/** Encodes batches of messages as MessagePack, and decodes and validates received batches. */
import { decode, encode } from '@msgpack/msgpack';
import { idSchema } from '@acaciadock/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { type PeerMessage, peerMessageSchema } from './messages/PeerMessage.js';

const envelopeSchema = z.object({ from: idSchema, messages: z.array(z.unknown()) });

export interface MessageBatch {
  readonly fromEntryId: string;
  readonly messages: readonly PeerMessage[];
  /** Number of messages that did not match the schema and were dropped from the batch. */
  readonly rejected: number;
}

export interface BatchFailure {
  readonly kind: 'batch-malformed';
  readonly detail: string;
}

export class MessageCodec {
  /** Encodes a batch that is sent by `fromEntryId`. */
  static encode(fromEntryId: string, messages: readonly PeerMessage[]): Buffer {
    return Buffer.from(encode({ from: fromEntryId, messages }, { ignoreUndefined: true }));
  }

  static decode(bytes: Uint8Array): Result<MessageBatch, BatchFailure> {
    let raw: unknown;
    try {
      raw = decode(bytes);
    } catch (cause) {
      return err({ kind: 'batch-malformed', detail: String(cause) });
    }
    const envelope = envelopeSchema.safeParse(raw);
    if (!envelope.success) return err({ kind: 'batch-malformed', detail: envelope.error.message });
    const parsed = envelope.data.messages.map((message) => peerMessageSchema.safeParse(message));
    const messages = parsed.flatMap((result) => (result.success ? [result.data] : []));
    return ok({
      fromEntryId: envelope.data.from,
      messages,
      rejected: parsed.length - messages.length,
    });
  }
}
