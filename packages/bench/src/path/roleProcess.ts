/** The child's end of the IPC channel: reports that it is ready, and its usage on request. */
import { type RoleMessage } from './RoleMessages.js';

const MICROS_PER_MS = 1_000;

function usage(): RoleMessage {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  const cpuMs = (user + system) / MICROS_PER_MS;
  return { kind: 'usage', cpuMs, rssBytes: rss, heapBytes: heapUsed };
}

export function serveRole(addresses: readonly string[]): void {
  process.on('message', () => process.send?.(usage()));
  process.on('disconnect', () => process.exit(0));
  const ready: RoleMessage = { kind: 'ready', addresses: [...addresses] };
  process.send?.(ready);
}
