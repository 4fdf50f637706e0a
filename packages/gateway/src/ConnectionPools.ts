/**
 * HTTP connection pools to the targets; not to be confused with the pools of instances. All live
 * entries share the connections of a target. One connection per slot is reserved for requests that
 * finish on an old pool while a smaller one replaces it; the rest is divided equally between the
 * entries. Pools of removed targets and pools with an outdated size are closed gracefully: their
 * requests finish first.
 */
import { Disposable, type HomeMap, toDisposable } from '@acaciadock/core';
import { type ConfigState, type ConfigView } from '@acaciadock/config';
import { Pool } from 'undici';
import { type TargetRun } from './TargetRun.js';

const CONNECT_TIMEOUT_MS = 1_000;
const STALL_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_MS = 30_000;

interface TargetConnections {
  readonly pool: Pool;
  readonly address: string;
  readonly connections: number;
}

/** Number of connections that each of `entryCount` entries may open to a target. */
export function connectionShare(connections: number, slots: number, entryCount: number): number {
  const shared = Math.max(0, connections - slots);
  return Math.max(1, Math.floor(shared / Math.max(1, entryCount)));
}

export class ConnectionPools extends Disposable {
  private readonly pools = new Map<string, TargetConnections>();

  private entryCount: number;

  constructor(
    private readonly homes: HomeMap,
    config: ConfigView,
  ) {
    super();
    this.entryCount = homes.liveEntries().length;
    this.register(
      homes.onChange(() => {
        this.entryCount = this.homes.liveEntries().length;
      }),
    );
    this.register(config.onChange((state) => this.closeRemoved(state)));
    this.register(
      toDisposable(() => {
        this.pools.forEach(({ pool }) => {
          void pool.destroy();
        });
      }),
    );
  }

  /** Returns the pool for a run, replacing one whose size or address is outdated. */
  poolFor(run: TargetRun): Pool {
    const connections = connectionShare(run.connections, run.slots, this.entryCount);
    const known = this.pools.get(run.targetId);
    if (known && known.connections === connections && known.address === run.address) {
      return known.pool;
    }
    if (known) ConnectionPools.close(known);
    const pool = new Pool(`http://${run.address}`, {
      connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: STALL_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
    this.pools.set(run.targetId, { pool, address: run.address, connections });
    return pool;
  }

  private closeRemoved({ document }: ConfigState): void {
    this.pools.forEach((known, targetId) => {
      if (document.instances[targetId]?.address === known.address) return;
      this.pools.delete(targetId);
      ConnectionPools.close(known);
    });
  }

  private static close({ pool }: TargetConnections): void {
    // `close` rejects if the pool was already destroyed; there is nothing left to close then.
    pool.close().catch(() => undefined);
  }
}
