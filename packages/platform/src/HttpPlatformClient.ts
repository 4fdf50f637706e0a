/** One JSON call over HTTP to a platform service, with every way it can fail as a type. */
import { err, ok, type Result } from 'neverthrow';
import { errors, Pool } from 'undici';

const CONNECTIONS = 8;
const CONNECT_TIMEOUT_MS = 1_000;

export type CallFailure =
  /** No connection was made: the call had no effect. */
  | { readonly kind: 'unreachable' }
  /** The call may have taken effect. */
  | { readonly kind: 'no-answer' }
  | { readonly kind: 'malformed'; readonly detail: string };

export interface CallAnswer {
  readonly statusCode: number;
  readonly body: unknown;
}

export interface Call {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
}

const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function codeOf(cause: unknown): string {
  return cause instanceof Error && 'code' in cause ? String(cause.code) : '';
}

export class HttpPlatformClient {
  private readonly pool: Pool;

  constructor(origin: string) {
    this.pool = new Pool(origin, {
      connections: CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  async call(call: Call): Promise<Result<CallAnswer, CallFailure>> {
    try {
      const answer = await this.pool.request({
        method: call.method,
        path: call.path,
        // One limit for the whole call, so that an answer in drips does not stretch it.
        signal: AbortSignal.timeout(call.timeoutMs),
        ...(call.body === undefined
          ? {}
          : { body: JSON.stringify(call.body), headers: { 'content-type': 'application/json' } }),
      });
      return ok({ statusCode: answer.statusCode, body: await answer.body.json() });
    } catch (cause) {
      if (NOT_SENT_CODES.has(codeOf(cause))) return err({ kind: 'unreachable' });
      if (cause instanceof SyntaxError) return err({ kind: 'malformed', detail: cause.message });
      if (cause instanceof errors.ClientDestroyedError) return err({ kind: 'unreachable' });
      return err({ kind: 'no-answer' });
    }
  }

  /** Ends all connections. Calls under way fail. */
  close(): Promise<void> {
    return this.pool.destroy();
  }
}
