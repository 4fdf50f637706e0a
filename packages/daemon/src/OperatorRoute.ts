/** Requests, answers and route patterns of the operators' HTTP API. */
import { type IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';

const MAX_BODY_BYTES = 16 * 1024 * 1024;

export interface OperatorAnswer {
  readonly statusCode: number;
  /** Serialised as JSON, or sent unchanged as a string if `contentType` is set. */
  readonly body: unknown;
  readonly contentType?: string;
}

export type BodyFailure = { readonly kind: 'body-too-large' } | { readonly kind: 'body-no-json' };

export class OperatorRequest {
  constructor(
    /** Decoded values of the named path parameters of the route, such as `:id`. */
    readonly parameters: Readonly<Record<string, string>>,
    readonly query: URLSearchParams,
    private readonly request: IncomingMessage,
  ) {}

  /** Reads the body as JSON. Fails if it is not JSON or larger than 16 MiB. */
  async json(): Promise<Result<unknown, BodyFailure>> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of this.request) {
      bytes += (chunk as Buffer).length;
      if (bytes > MAX_BODY_BYTES) return err({ kind: 'body-too-large' });
      chunks.push(chunk as Buffer);
    }
    try {
      return ok(JSON.parse(Buffer.concat(chunks).toString('utf8')));
    } catch {
      return err({ kind: 'body-no-json' });
    }
  }
}

export interface OperatorRoute {
  readonly method: 'GET' | 'POST';
  /** A path whose segments may be named parameters, such as `/v1/config/patches/:id`. */
  readonly path: string;
  readonly answer: (request: OperatorRequest) => OperatorAnswer | Promise<OperatorAnswer>;
}

function decode(part: string): string | undefined {
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}

/**
 * Matches `path` against a route's pattern. Returns its parameters, or undefined if it does not
 * match.
 */
export function matchPath(
  pattern: string,
  path: string,
): Readonly<Record<string, string>> | undefined {
  const names = pattern.split('/');
  const parts = path.split('/');
  if (names.length !== parts.length) return undefined;
  const parameters: [string, string][] = [];
  for (const [index, name] of names.entries()) {
    const part = decode(parts[index] ?? '');
    if (part === undefined) return undefined;
    if (name.startsWith(':')) parameters.push([name.slice(1), part]);
    else if (name !== part) return undefined;
  }
  return Object.fromEntries(parameters);
}
