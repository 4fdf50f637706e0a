/** HTTP server of a stand-in on a loopback address. */
import { createServer } from 'node:http';

/** An answer that is never sent: the connection stays open. */
export const SILENT = Symbol('silent');

/** An answer in place of which the connection is reset. */
export const RESET = Symbol('reset');

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function send(response, { status, body = '' }) {
  const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
  const type = Buffer.isBuffer(body) ? 'application/octet-stream' : 'application/json';
  response.writeHead(status, { 'content-type': type, 'content-length': bytes.length });
  response.end(bytes);
}

export class HttpStandIn {
  /** `answer` gets method, URL, headers and body of a call and returns `{ status, body }`. */
  constructor(answer) {
    this.server = createServer(async (request, response) => {
      try {
        const body = await readBody(request);
        const url = new URL(request.url, 'http://stand-in');
        const reply = await answer({ method: request.method, url, headers: request.headers, body });
        if (reply === SILENT) return;
        if (reply === RESET) request.socket.resetAndDestroy();
        else send(response, reply);
      } catch {
        request.socket.destroy();
      }
    });
    this.server.keepAliveTimeout = 60_000;
  }

  listen(host, port) {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve(`${host}:${this.server.address().port}`));
    });
  }

  close() {
    this.server.closeAllConnections();
    return new Promise((resolve) => {
      this.server.close(resolve);
    });
  }
}
