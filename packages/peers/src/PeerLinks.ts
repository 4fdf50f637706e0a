/**
 * Peer network over gRPC: owns this entry's gRPC server and its outgoing links to all peers.
 */
import {
  type Clock,
  Disposable,
  type EntryId,
  EventEmitter,
  type Random,
  toDisposable,
} from '@acaciadock/core';
import {
  type ChannelCredentials,
  Metadata,
  Server,
  type ServerCredentials,
  type ServerReadableStream,
  type UntypedHandleCall,
} from '@grpc/grpc-js';
import { err, ok, type Result } from 'neverthrow';
import { LinkCounters } from './LinkCounters.js';
import { MessageCodec } from './MessageCodec.js';
import { type PeerMessage } from './messages/PeerMessage.js';
import { PeerLink } from './PeerLink.js';
import { type PeerAddress, type PeerNetwork, type ReceivedMessage } from './PeerNetwork.js';
import { type Empty, peerService } from './peerService.js';

const MAX_BATCH_BYTES = 32 * 1024 * 1024;

export interface PeerLinksOptions {
  readonly selfEntryId: EntryId;
  /** `host:port` to listen on; port 0 selects a free port. */
  readonly listenAddress: string;
  readonly serverCredentials: ServerCredentials;
  readonly channelCredentials: ChannelCredentials;
}

export interface LinkChange {
  readonly entryId: EntryId;
  readonly up: boolean;
}

export interface ListenFailure {
  readonly kind: 'listen-failed';
  readonly address: string;
  readonly detail: string;
}

/** Returns the common name of the client's certificate, or undefined on a link without TLS. */
function certificateNameOf(call: ServerReadableStream<Buffer, Empty>): string | undefined {
  const certificate = call.getAuthContext()?.sslPeerCertificate;
  if (!certificate) return undefined;
  const { CN } = certificate.subject;
  return (Array.isArray(CN) ? CN[0] : CN) ?? '';
}

export class PeerLinks extends Disposable implements PeerNetwork {
  readonly selfEntryId: EntryId;

  private readonly messageEmitter = this.register(new EventEmitter<ReceivedMessage>());

  readonly onMessage = this.messageEmitter.event;

  private readonly links = new Map<EntryId, PeerLink>();

  private readonly server = new Server({
    'grpc.max_receive_message_length': MAX_BATCH_BYTES,
  });

  private readonly linkEmitter = this.register(new EventEmitter<LinkChange>());

  /** Fires when an outgoing link has connected or disconnected. */
  readonly onLink = this.linkEmitter.event;

  readonly counters = new LinkCounters();

  constructor(
    private readonly options: PeerLinksOptions,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    super();
    this.selfEntryId = options.selfEntryId;
    const deliver: UntypedHandleCall = (
      call: ServerReadableStream<Buffer, Empty>,
      done: (error: null, answer: Empty) => void,
    ) => {
      const certificateName = certificateNameOf(call);
      // Sending metadata at once lets the client know that its link is up.
      call.sendMetadata(new Metadata());
      call.on('data', (bytes: Buffer) => this.receive(bytes, certificateName));
      call.on('end', () => done(null, {}));
      call.on('error', () => undefined);
    };
    this.server.addService(peerService, { deliver });
    this.register(toDisposable(() => this.close()));
  }

  /** Received messages and batches that did not match the schema. */
  get rejectedMessages(): number {
    return this.counters.rejectedMessages;
  }

  /** Starts listening and returns the address at which peers can connect. */
  listen(): Promise<Result<string, ListenFailure>> {
    const { listenAddress, serverCredentials } = this.options;
    const host = listenAddress.slice(0, listenAddress.lastIndexOf(':'));
    return new Promise((resolve) => {
      this.server.bindAsync(listenAddress, serverCredentials, (error, port) => {
        if (error) {
          resolve(err({ kind: 'listen-failed', address: listenAddress, detail: error.message }));
          return;
        }
        resolve(ok(`${host}:${port}`));
      });
    });
  }

  send(toEntryId: EntryId, message: PeerMessage): boolean {
    if (this.isDisposed) return false;
    if (toEntryId === this.selfEntryId) {
      setImmediate(() => this.messageEmitter.fire({ fromEntryId: toEntryId, message }));
      return true;
    }
    return this.links.get(toEntryId)?.send(message) ?? false;
  }

  setPeers(peers: readonly PeerAddress[]): void {
    const addressByEntryId = new Map(
      peers
        .filter((peer) => peer.entryId !== this.selfEntryId)
        .map((peer) => [peer.entryId, peer.address]),
    );
    this.links.forEach((link, entryId) => {
      if (addressByEntryId.get(entryId) === link.address) return;
      link.dispose();
      this.links.delete(entryId);
    });
    addressByEntryId.forEach((address, entryId) => {
      if (this.links.has(entryId)) return;
      this.links.set(entryId, this.connect(entryId, address));
    });
  }

  private connect(entryId: EntryId, address: string): PeerLink {
    const { selfEntryId, channelCredentials } = this.options;
    const options = { selfEntryId, address, credentials: channelCredentials };
    const link = new PeerLink(options, this.counters, this.clock, this.random);
    link.onChange((up) => this.linkEmitter.fire({ entryId, up }));
    return link;
  }

  private receive(bytes: Buffer, certificateName: string | undefined): void {
    this.counters.receivedBytes += bytes.length;
    const batch = MessageCodec.decode(bytes);
    if (batch.isErr()) {
      this.counters.rejectedMessages += 1;
      return;
    }
    const { fromEntryId, rejected, messages } = batch.value;
    if (certificateName !== undefined && certificateName !== fromEntryId) {
      this.counters.spoofedBatches += 1;
      return;
    }
    this.counters.rejectedMessages += rejected;
    this.counters.receivedMessages += messages.length;
    messages.forEach((message) => this.messageEmitter.fire({ fromEntryId, message }));
  }

  private close(): void {
    this.links.forEach((link) => link.dispose());
    this.links.clear();
    this.server.forceShutdown();
  }
}
