/** A peer network that records sent messages and delivers messages from the test. */
import { type EntryId, EventEmitter } from '@acaciadock/core';
import { type PeerMessage, PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';

export interface SentMessage {
  readonly toEntryId: EntryId;
  readonly message: PeerMessage;
}

export class RecordingNetwork extends PeerNetwork {
  override readonly selfEntryId = 'e0';

  private readonly emitter = new EventEmitter<ReceivedMessage>();

  override readonly onMessage = this.emitter.event;

  readonly sent: SentMessage[] = [];

  readonly down = new Set<EntryId>();

  override send(toEntryId: EntryId, message: PeerMessage): boolean {
    if (this.down.has(toEntryId)) return false;
    this.sent.push({ toEntryId, message });
    return true;
  }

  override setPeers(): void {
    // Every entry is reachable unless it is in `down`.
  }

  deliver(fromEntryId: EntryId, message: PeerMessage): void {
    this.emitter.fire({ fromEntryId, message });
  }

  of<K extends PeerMessage['kind']>(kind: K): Extract<PeerMessage, { kind: K }>[] {
    return this.sent
      .map(({ message }) => message)
      .filter((message): message is Extract<PeerMessage, { kind: K }> => message.kind === kind);
  }
}
