/**
 * Watches over one idle connection whether the process at an address still runs. The operating system
 * closes the connection when the process ends and refuses the next one, so the end is noticed within
 * milliseconds and without any heartbeat. A machine that loses power or is cut off closes nothing: that
 * is noticed by the expiry of its membership only.
 */
import { type Clock, Disposable, EventEmitter, type IDisposable } from '@acaciadock/core';
import { connect, type Socket } from 'node:net';

/** Delay between the end of a connection and the next one, in milliseconds. */
const RECONNECT_MS = 100;

const REFUSED_CODE = 'ECONNREFUSED';

export class ProcessWatch extends Disposable {
  private readonly refusedEmitter = this.register(new EventEmitter<void>());

  /** Fires each time that a connection is refused because nothing listens at the address. */
  readonly onRefused = this.refusedEmitter.event;

  private socket: Socket | undefined;

  private reconnectTimer: IDisposable | undefined;

  /** The first connection after the end of one is tried at once. */
  private wasConnected = false;

  /** `address` is `host:port`. */
  constructor(
    private readonly address: string,
    private readonly clock: Clock,
  ) {
    super();
    this.register({ dispose: () => this.release() });
    this.connect();
  }

  private connect(): void {
    if (this.isDisposed) return;
    const separator = this.address.lastIndexOf(':');
    const host = this.address.slice(0, separator);
    const socket = connect(Number(this.address.slice(separator + 1)), host);
    this.socket = socket;
    this.wasConnected = false;
    socket.on('connect', () => {
      this.wasConnected = true;
    });
    // What the peer sends on an idle connection is not needed, but must not fill the buffers.
    socket.resume();
    socket.on('error', (cause: NodeJS.ErrnoException) => {
      if (cause.code === REFUSED_CODE) this.refusedEmitter.fire();
    });
    socket.on('close', () => this.reconnect());
  }

  private reconnect(): void {
    if (this.isDisposed) return;
    if (this.wasConnected) this.connect();
    else this.reconnectTimer = this.clock.after(RECONNECT_MS, () => this.connect());
  }

  private release(): void {
    this.reconnectTimer?.dispose();
    this.socket?.destroy();
  }
}
