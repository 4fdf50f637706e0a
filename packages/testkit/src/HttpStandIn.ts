/** Base class of the stand-ins: a small HTTP server on a loopback port that answers in JSON. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';

export abstract class HttpStandIn {
  protected readonly server: Server;

  private readonly sockets = new Set<Socket>();

  private closedBytes = 0;

  constructor() {
    this.server = createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
    this.server.on('connection', (socket) => this.trackSocket(socket));
  }

  /** Starts to listen, on a free port if `port` is 0. Returns `host:port`. */
  listen(port = 0): Promise<string> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, LOOPBACK, () => {
        this.server.off('error', reject);
        resolve(this.address);
      });
    });
  }

  get isListening(): boolean {
    return this.server.listening;
  }

  get address(): string {
    const { port } = this.server.address() as AddressInfo;
    return `${LOOPBACK}:${port}`;
  }

  /** Stops immediately and closes all connections, also those in use. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  /** Bytes received and sent over all connections so far. */
  get trafficBytes(): number {
    return [...this.sockets].reduce(
      (sum, socket) => sum + HttpStandIn.bytesOf(socket),
      this.closedBytes,
    );
  }

  private trackSocket(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.closedBytes += HttpStandIn.bytesOf(socket);
    });
  }

  private static bytesOf(socket: Socket): number {
    return socket.bytesRead + socket.bytesWritten;
  }

  /** Handles a request; if the promise is rejected, the connection is closed without an answer. */
  protected abstract answer(request: IncomingMessage, response: ServerResponse): Promise<void>;

  protected static async readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    return Buffer.concat(chunks);
  }

  protected static async readJson(request: IncomingMessage): Promise<unknown> {
    return JSON.parse((await HttpStandIn.readBody(request)).toString('utf8'));
  }

  static send(response: ServerResponse, statusCode: number, body: unknown): void {
    const bytes = Buffer.from(JSON.stringify(body));
    response.writeHead(statusCode, {
      'content-type': 'application/json',
      'content-length': bytes.length,
    });
    response.end(bytes);
  }
}
