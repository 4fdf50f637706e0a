/**
 * Finds unused loopback addresses for test processes that get their listen address as a setting.
 * The ports lie below the ephemeral range, from which the operating system could assign a port to
 * another process before the test process listens on it.
 */
import { createServer } from 'node:net';

const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;

/** The next port to try. It starts at a value derived from the pid, so concurrent runs differ. */
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
