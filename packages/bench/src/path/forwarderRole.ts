/** Child process that forwards round robin with `http` and `undici`: the baseline of the bench. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { randomUUID } from 'node:crypto';
import { Pool } from 'undici';
import { serveRole } from './roleProcess.js';

const CONNECTIONS = 64;
const LEASE_MS = 60_000;

const { targetAddresses } = JSON.parse(process.argv[2] ?? '{}') as { targetAddresses: string[] };
const pools = targetAddresses.map(
  (address) => new Pool(`http://${address}`, { connections: CONNECTIONS }),
);
let poolIndex = 0;

async function forward(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  poolIndex = (poolIndex + 1) % pools.length;
  const pool = pools[poolIndex];
  if (!pool) throw new RangeError('the forwarder has no targets');
  const answer = await pool.request({
    method: 'POST',
    path: '/run',
    headers: {
      'content-type': 'application/json',
      'x-request-id': randomUUID(),
      'x-lease-expires-at-ms': String(Date.now() + LEASE_MS),
    },
    body: Buffer.concat(chunks),
  });
  const body = Buffer.from(await answer.body.arrayBuffer());
  response.writeHead(answer.statusCode, {
    'content-type': String(answer.headers['content-type']),
    'content-length': body.length,
  });
  response.end(body);
}

const server = createServer((request, response) => {
  forward(request, response).catch(() => response.destroy());
});
server.listen(0, '127.0.0.1', () => {
  serveRole([`127.0.0.1:${(server.address() as AddressInfo).port}`]);
});
