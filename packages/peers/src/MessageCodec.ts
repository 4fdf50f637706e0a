/** Batches of messages as bytes: MessagePack by library, checked by schema on arrival. */
import { decode, encode } from '@msgpack/msgpack';
import { idSchema } from '@acaciadock/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { type PeerMessage, peerMessageSchema } from './messages/PeerMessage.js';

const envelopeSchema = z.object({ from: idSchema, messages: z.array(z.unknown()) });

export interface MessageBatch {
  readonly fromEntryId: string;
  readonly messages: readonly PeerMessage[];
  /** How many messages of the batch did not fit the contract and were left out. */
  readonly rejected: number;
}

export interface BatchFailure {
  readonly kind: 'batch-malformed';
  readonly detail: string;
}

export class MessageCodec {
  /** Bytes of a batch from this entry. */
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
