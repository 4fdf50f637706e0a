/**
 * Sends one run to one target and takes its whole answer. Every way it can end is a type that
 * says whether the work can have run.
 */
import { type Clock, Disposable, type TargetId, toDisposable } from '@acaciadock/core';
import { type Dispatcher, Pool } from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

export interface TargetRun {
  readonly targetId: TargetId;
  readonly address: string;
  readonly connections: number;
  readonly requestId: string;
  readonly serviceId: string;
  readonly teamId: string;
  readonly startByMs: number;
  readonly leaseExpiresAtMs: number;
  readonly body: Buffer;
  readonly contentType: string;
  readonly maxAnswerBytes: number;
}

export type TargetEnd =
  /** The start-by instant had passed: nothing was sent. */
  | { readonly kind: 'not-started' }
  /** No connection: nothing was sent. */
  | { readonly kind: 'unreachable' }
  /** The target says that it did not run the work. */
  | { readonly kind: 'refused' }
  | { readonly kind: 'answered'; readonly contentType: string; readonly body: Buffer }
  /** The target says that it ran the work and that it failed. */
  | { readonly kind: 'failed'; readonly statusCode: number }
  /** The answer was cut, crossed or late: the work may have run, or may still run. */
  | { readonly kind: 'incomplete'; readonly detail: string }
  | { readonly kind: 'too-large' };

function codeOf(cause: unknown): string {
  return cause instanceof Error && 'code' in cause ? String(cause.code) : '';
}

function headerOf(answer: Dispatcher.ResponseData, name: string): string {
  return String(answer.headers[name] ?? '');
}

export class TargetClient extends Disposable {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly clock: Clock) {
    super();
    this.register(
      toDisposable(() => {
        this.pools.forEach((pool) => {
          void pool.destroy();
        });
      }),
    );
  }

  async run(run: TargetRun): Promise<TargetEnd> {
    // Checked last of all before the first byte: this process may have been paused since the grant.
    const nowMs = this.clock.unixMs();
    if (nowMs >= run.startByMs) return { kind: 'not-started' };
    const timeoutMs = run.leaseExpiresAtMs - nowMs;
    try {
      const answer = await this.poolOf(run).request({
        method: 'POST',
        path: '/run',
        headers: {
          'content-type': run.contentType,
          'x-request-id': run.requestId,
          'x-service-id': run.serviceId,
          'x-team-id': run.teamId,
          'x-lease-expires-at-ms': String(run.leaseExpiresAtMs),
        },
        body: run.body,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      return await TargetClient.take(run, answer);
    } catch (cause) {
      if (NOT_SENT_CODES.has(codeOf(cause))) return { kind: 'unreachable' };
      return { kind: 'incomplete', detail: codeOf(cause) };
    }
  }

  private static async take(run: TargetRun, answer: Dispatcher.ResponseData): Promise<TargetEnd> {
    if (headerOf(answer, 'x-executed') === 'no') {
      await answer.body.dump();
      return { kind: 'refused' };
    }
    if (headerOf(answer, 'x-request-id') !== run.requestId) {
      answer.body.destroy();
      return { kind: 'incomplete', detail: 'the answer names another request' };
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of answer.body) {
      chunks.push(chunk as Buffer);
      bytes += (chunk as Buffer).length;
      if (bytes <= run.maxAnswerBytes) continue;
      answer.body.destroy();
      return { kind: 'too-large' };
    }
    if (answer.statusCode >= 400) return { kind: 'failed', statusCode: answer.statusCode };
    return {
      kind: 'answered',
      contentType: headerOf(answer, 'content-type'),
      body: Buffer.concat(chunks),
    };
  }

  private poolOf(run: TargetRun): Pool {
    const key = `${run.targetId} ${run.address}`;
    const known = this.pools.get(key);
    if (known) return known;
    const pool = new Pool(`http://${run.address}`, {
      connections: run.connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    this.pools.set(key, pool);
    return pool;
  }
}
