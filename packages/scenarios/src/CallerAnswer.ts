/** The result of a request as its caller sees it: a complete response or a lost connection. */
import { type Dispatcher } from 'undici';

export interface CallerRequest {
  readonly serviceId?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly signal?: AbortSignal;
}

export interface CallerAnswer {
  /** 0 if the connection was lost before the complete response had arrived. */
  readonly statusCode: number;
  readonly text: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Problem type without its URN prefix; undefined if the response is not a problem document. */
  readonly problem: string | undefined;
  /** The problem's statement on whether the work ran: `yes`, `no` or `unknown`. */
  readonly executed: string | undefined;
}

const PROBLEM_PREFIX = 'urn:acaciadock:problem:';

interface ProblemFields {
  readonly type?: string;
  readonly executed?: string;
}

function fieldsOf(text: string): ProblemFields {
  const body: unknown = JSON.parse(text);
  return typeof body === 'object' && body !== null ? body : {};
}

/** Sends a request and reads its response to the end; a failed connection does not throw. */
export async function readAnswer(
  send: () => Promise<Dispatcher.ResponseData>,
): Promise<CallerAnswer> {
  try {
    const { statusCode, headers, body } = await send();
    const text = await body.text();
    const isProblem = headers['content-type'] === 'application/problem+json';
    const { type, executed } = isProblem ? fieldsOf(text) : {};
    const problem = type?.replace(PROBLEM_PREFIX, '');
    return { statusCode, text, headers, problem, executed };
  } catch {
    return { statusCode: 0, text: '', headers: {}, problem: undefined, executed: undefined };
  }
}
