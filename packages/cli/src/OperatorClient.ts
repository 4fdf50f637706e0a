/** HTTP client for the operator API of an entry. */
import { request } from 'undici';
import { CliFailure } from './CliFailure.js';
import { ExitCode } from './ExitCode.js';

const CALL_TIMEOUT_MS = 15_000;

export interface OperatorAnswer {
  readonly statusCode: number;
  readonly body: unknown;
}

export interface OperatorClientOptions {
  /** Origin of the entry's operator API, such as `http://127.0.0.1:8081`. */
  readonly url: string;
  readonly token: string | undefined;
}

export class OperatorClient {
  constructor(private readonly options: OperatorClientOptions) {}

  get(path: string): Promise<OperatorAnswer> {
    return this.call('GET', path, undefined);
  }

  post(path: string, body: unknown): Promise<OperatorAnswer> {
    return this.call('POST', path, body);
  }

  private async call(method: 'GET' | 'POST', path: string, body: unknown): Promise<OperatorAnswer> {
    const { url, token } = this.options;
    try {
      const answer = await request(new URL(path, url), {
        method,
        headers: {
          'content-type': 'application/json',
          ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
        },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: CALL_TIMEOUT_MS,
      });
      return { statusCode: answer.statusCode, body: await answer.body.json() };
    } catch (cause) {
      const code = cause instanceof Error && 'code' in cause ? String(cause.code) : String(cause);
      // Whether the call may have taken effect. A refused connection rules out that the request was
      // sent; a GET changes nothing either way.
      const sent = method === 'POST' && code !== 'ECONNREFUSED';
      const exitCode = sent ? ExitCode.unknown : ExitCode.unreachable;
      throw new CliFailure(
        exitCode,
        { kind: 'entry-unreachable', url, code },
        `no answer from ${url} (${code})`,
      );
    }
  }
}
