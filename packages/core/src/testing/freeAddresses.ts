/**
 * Loopback addresses that nobody listens at, for processes that are told theirs. They lie below the
 * ports that systems hand out by themselves: one of those may be gone again before it is used.
 */
import { createServer } from 'node:net';

const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;

/** The next port to look at; runs beside each other begin at different ones. */
let nextPort = FIRST_PORT + ((process.pid * 97) % PORT_COUNT);

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

export async function freeAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    const port = nextPort;
    nextPort = FIRST_PORT + ((nextPort + 1 - FIRST_PORT) % PORT_COUNT);
    if (await isFree(port)) addresses.push(`127.0.0.1:${port}`);
  }
  return addresses;
}
