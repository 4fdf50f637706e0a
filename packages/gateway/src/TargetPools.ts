/**
 * Connection pools to the targets. The connections of a target are shared by all live entries:
 * each pool gets an equal part of what is left after one connection per slot, which is kept back
 * for requests that finish on an old pool while a smaller one takes over. Pools of targets that
 * left and of earlier sizes are closed gracefully: their requests finish first.
 */
import { Disposable, type HomeMap, toDisposable } from '@acaciadock/core';
import { type ConfigState, type ConfigView } from '@acaciadock/config';
import { Pool } from 'undici';
import { type TargetRun } from './TargetRun.js';

const CONNECT_TIMEOUT_MS = 1_000;
const STALL_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_MS = 30_000;

interface KnownPool {
  readonly pool: Pool;
  readonly address: string;
  readonly connections: number;
}

/** Connections that one of `entryCount` entries may hold to a target. */
export function connectionShare(connections: number, slots: number, entryCount: number): number {
  const shared = Math.max(0, connections - slots);
  return Math.max(1, Math.floor(shared / Math.max(1, entryCount)));
}

export class TargetPools extends Disposable {
  private readonly pools = new Map<string, KnownPool>();

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

  /** The pool to send this run on. */
  poolFor(run: TargetRun): Pool {
    const connections = connectionShare(run.connections, run.slots, this.entryCount);
    const known = this.pools.get(run.targetId);
    if (known && known.connections === connections && known.address === run.address) {
      return known.pool;
    }
    if (known) TargetPools.close(known);
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
      TargetPools.close(known);
    });
  }

  private static close({ pool }: KnownPool): void {
    // A pool that was destroyed meanwhile has nothing left to close.
    pool.close().catch(() => undefined);
  }
}
