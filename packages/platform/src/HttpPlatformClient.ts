/**
 * Client for the platform's JSON services over HTTP. The kind of a failure states whether the call
 * may have taken effect.
 */
import { err, ok, type Result } from 'neverthrow';
import { errors, Pool } from 'undici';

const CONNECTIONS = 8;
const CONNECT_TIMEOUT_MS = 1_000;

export type CallFailure =
  /** No connection was made: the call had no effect. */
  | { readonly kind: 'unreachable' }
  /** The call may have taken effect. */
  | { readonly kind: 'no-answer' }
  /** The body of the answer is not JSON. */
  | { readonly kind: 'malformed'; readonly detail: string };

export interface CallAnswer {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | undefined>>;
  /** The parsed JSON body; undefined if the answer has no body. */
  readonly body: unknown;
}

export interface Call {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
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
        // One timeout for the whole call, so that a slowly trickling answer can't extend it.
        signal: AbortSignal.timeout(call.timeoutMs),
        headers: {
          ...call.headers,
          ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
        },
        body: call.body === undefined ? null : JSON.stringify(call.body),
      });
      const text = await answer.body.text();
      return ok({
        statusCode: answer.statusCode,
        headers: HttpPlatformClient.headersOf(answer.headers),
        body: text === '' ? undefined : (JSON.parse(text) as unknown),
      });
    } catch (cause) {
      if (NOT_SENT_CODES.has(codeOf(cause))) return err({ kind: 'unreachable' });
      if (cause instanceof SyntaxError) return err({ kind: 'malformed', detail: cause.message });
      if (cause instanceof errors.ClientDestroyedError) return err({ kind: 'unreachable' });
      return err({ kind: 'no-answer' });
    }
  }

  private static headersOf(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): CallAnswer['headers'] {
    return Object.fromEntries(
      Object.entries(headers).map(([name, value]) => [
        name,
        value === undefined ? value : String(value),
      ]),
    );
  }

  /** Closes all connections. In-flight calls fail. */
  close(): Promise<void> {
    return this.pool.destroy();
  }
}
