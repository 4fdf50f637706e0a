/** Writes the response to a caller: the complete answer of the target, or a problem body. */
import { type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';
import { type Clock } from '@acaciadock/core';
import { type RequestEnd } from './AcceptedRequest.js';
import { type Problem, PROBLEM_KINDS, problemBody } from './Problem.js';

const PROBLEM_CONTENT_TYPE = 'application/problem+json';
const SECOND_MS = 1_000;
const READ_TIMEOUT_MS = 60_000;

export class AnswerWriter {
  constructor(private readonly clock: Clock) {}

  write(response: ServerResponse, requestId: string, end: RequestEnd): void {
    if (response.destroyed || response.headersSent) return;
    if (end.kind === 'problem') {
      AnswerWriter.writeProblem(response, requestId, end.problem);
      return;
    }
    const { statusCode, contentType, body } = end.answer;
    const headers: Record<string, string | number> = {
      'x-request-id': requestId,
      'content-length': body.length,
    };
    if (contentType !== '') headers['content-type'] = contentType;
    if (end.isReplay) headers['x-idempotent-replay'] = 'true';
    response.writeHead(statusCode === 204 ? 200 : statusCode, headers);
    response.end(body);
    this.limitReadTime(response);
  }

  /** Writes a problem for bytes that are not a valid request, and closes the connection. */
  static writeRaw(socket: Duplex, requestId: string, problem: Problem): void {
    const body = JSON.stringify(problemBody(problem, requestId));
    const { statusCode, title } = PROBLEM_KINDS[problem.type];
    const head = [
      `HTTP/1.1 ${statusCode} ${title}`,
      `content-type: ${PROBLEM_CONTENT_TYPE}`,
      `content-length: ${Buffer.byteLength(body)}`,
      'connection: close',
    ];
    socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
  }

  private static writeProblem(response: ServerResponse, requestId: string, problem: Problem): void {
    const body = Buffer.from(JSON.stringify(problemBody(problem, requestId)));
    const headers: Record<string, string | number> = {
      'x-request-id': requestId,
      'content-type': PROBLEM_CONTENT_TYPE,
      'content-length': body.length,
    };
    if (problem.retryAfterMs !== undefined) {
      headers['retry-after'] = Math.max(1, Math.ceil(problem.retryAfterMs / SECOND_MS));
    }
    // The unread rest of a refused body would otherwise be parsed as the next request.
    if (!response.req.complete) headers.connection = 'close';
    response.writeHead(PROBLEM_KINDS[problem.type].statusCode, headers);
    response.end(body);
  }

  /** Closes the connection of a caller that does not read its answer, to free the memory. */
  private limitReadTime(response: ServerResponse): void {
    if (response.writableFinished || response.writableLength === 0) return;
    const timer = this.clock.after(READ_TIMEOUT_MS, () => response.destroy());
    response.once('close', () => timer.dispose());
  }
}
