/**
 * A process that only forwards requests: the memory baseline for the cost of control. Its memory is
 * measured as soon as it listens, before it has forwarded anything.
 */
import { createServer } from 'node:http';
import { Pool } from 'undici';

/** The process exits after this time, whatever it does; the bench normally kills it earlier. */
const MAX_LIFETIME_MS = 600_000;
const [targetUrl = 'http://127.0.0.1:9'] = process.argv.slice(2);
const pool = new Pool(targetUrl, { connections: 64 });

const server = createServer((request, response) => {
  pool
    .request({ method: 'POST', path: request.url ?? '/', body: request })
    .then(async (answer) => {
      response.writeHead(answer.statusCode);
      response.end(Buffer.from(await answer.body.arrayBuffer()));
    })
    .catch(() => response.destroy());
});

server.listen(0, '127.0.0.1', () => process.stdout.write('listening\n'));
setTimeout(() => process.exit(), MAX_LIFETIME_MS);
