/** One call of the operators' HTTP interface: what it takes and what it answers, as JSON. */
import { type IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';

const MAX_BODY_BYTES = 16 * 1024 * 1024;

export interface OperatorAnswer {
  readonly statusCode: number;
  /** Sent as JSON; with a `contentType`, a string that is sent as it is. */
  readonly body: unknown;
  readonly contentType?: string;
}

export type BodyFailure = { readonly kind: 'body-too-large' } | { readonly kind: 'body-no-json' };

export class OperatorRequest {
  constructor(
    /** Decoded parts of the path where the route has a name in their place, like `:id`. */
    readonly parameters: Readonly<Record<string, string>>,
    readonly query: URLSearchParams,
    private readonly request: IncomingMessage,
  ) {}

  /** The body as JSON; anything but JSON or more than 16 MiB is refused. */
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
  /** Like `/v1/config/patches/:id`. */
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

/** The parameters of `path` under a route's pattern; undefined if it does not fit. */
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
