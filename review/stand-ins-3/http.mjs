// HTTP servers on loopback ports, and a client that keeps its connections open.
import { Agent, createServer, request } from 'node:http';

export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** `handle` gets a call and returns `{ status, body }`, or undefined to leave it without an answer. */
export class LoopbackServer {
  constructor(handle) {
    this.server = createServer((incoming, outgoing) => {
      const chunks = [];
      incoming.on('data', (chunk) => chunks.push(chunk));
      incoming.on('error', () => undefined);
      incoming.on('end', async () => {
        const received = {
          method: incoming.method,
          url: new URL(incoming.url, 'http://stand-in'),
          headers: incoming.headers,
          body: Buffer.concat(chunks),
        };
        const answer = await handle(received);
        if (!answer || outgoing.destroyed) return;
        const { status, body = '' } = answer;
        const bytes =
          Buffer.isBuffer(body) || typeof body === 'string' ? body : JSON.stringify(body);
        const type = Buffer.isBuffer(body) ? 'application/octet-stream' : 'application/json';
        outgoing.writeHead(status, {
          'content-type': type,
          'content-length': Buffer.byteLength(bytes),
        });
        outgoing.end(bytes);
      });
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen(port = 0) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.server.address().port}`;
  }

  /** Resets all connections; later ones are refused. */
  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

const agent = new Agent({ keepAlive: true, maxSockets: 64 });

/** Resolves with the status and the parsed body; status 0 if there is no answer in time. */
export function call(address, method, path, { headers = {}, body, timeoutMs = 3_000 } = {}) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    let timer;
    const outgoing = request(
      {
        host,
        port,
        method,
        path,
        agent,
        headers: { 'content-type': 'application/json', ...headers },
      },
      (incoming) => {
        const chunks = [];
        incoming.on('data', (chunk) => chunks.push(chunk));
        incoming.on('error', () => resolve({ status: 0 }));
        incoming.on('end', () => {
          clearTimeout(timer);
          const text = Buffer.concat(chunks).toString('utf8');
          let parsed;
          try {
            parsed = text === '' ? undefined : JSON.parse(text);
          } catch {
            parsed = text;
          }
          resolve({ status: incoming.statusCode, body: parsed });
        });
      },
    );
    timer = setTimeout(() => {
      outgoing.destroy();
      resolve({ status: 0 });
    }, timeoutMs);
    outgoing.on('error', () => {
      clearTimeout(timer);
      resolve({ status: 0 });
    });
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}
