/** A small HTTP server for stand-ins. The handler returns `{status, body}`, or nothing to stay silent. */
import { createServer } from 'node:http';

async function readAll(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

export function startHttpServer(handle) {
  const server = createServer((request, response) => {
    readAll(request)
      .then((body) => handle(request, body, response))
      .then((answer) => {
        if (!answer || response.destroyed) return;
        const { status, body = '' } = answer;
        const isRaw = Buffer.isBuffer(body) || typeof body === 'string';
        const bytes = isRaw ? body : JSON.stringify(body);
        response.writeHead(status, { 'content-length': Buffer.byteLength(bytes) });
        response.end(bytes);
      })
      .catch(() => response.destroy());
  });
  server.keepAliveTimeout = 120_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const close = () => {
        server.close();
        server.closeAllConnections();
      };
      resolve({ address: `127.0.0.1:${server.address().port}`, close });
    });
  });
}

export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
