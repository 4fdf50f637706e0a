/**
 * The callers' HTTP interface: checks the key and the headers, reads the body under its cap, and
 * writes the whole answer or a typed problem.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { randomUUID } from 'node:crypto';
import {
  type Clock,
  Disposable,
  type Fence,
  type OutcomeRecorder,
  toDisposable,
  type Urgency,
} from '@acaciadock/core';
import {
  type ConfigDocument,
  type ConfigView,
  type ServiceConfig,
  TeamKey,
} from '@acaciadock/config';
import { type Problem } from './Problem.js';
import { RefusedRequest } from './RefusedRequest.js';
import {
  type AcceptedRequest,
  type RequestEnd,
  type RequestRunner,
  type RunTrace,
} from './RequestRunner.js';

const REQUEST_PATH = /^\/v1\/services\/([^/]+)\/requests$/;
const BEARER = /^Bearer (\S+)$/;
const DRAIN_POLL_MS = 20;

function refuse(type: Problem['type'], statusCode: number, detail: string): RefusedRequest {
  return new RefusedRequest({ type, statusCode, executed: 'no', detail });
}

export class CallerServer extends Disposable {
  private readonly server: Server;

  private inFlight = 0;

  private stopping = false;

  constructor(
    private readonly config: ConfigView,
    private readonly fence: Fence,
    private readonly runner: RequestRunner,
    private readonly recorder: OutcomeRecorder,
    private readonly clock: Clock,
  ) {
    super();
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.register(toDisposable(() => this.server.closeAllConnections()));
  }

  /** Listens on `host:port` and returns the address in use. */
  listen(address: string): Promise<string> {
    const colon = address.lastIndexOf(':');
    const host = address.slice(0, colon);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(address.slice(colon + 1)), host, () => {
        resolve(`${host}:${(this.server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Graceful stop: no new request is taken, those in progress are finished. */
  async stop(): Promise<void> {
    this.stopping = true;
    while (this.inFlight > 0) await this.clock.sleep(DRAIN_POLL_MS);
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?')[0] ?? '';
    if (path === '/healthz') {
      response.end('ok\n');
      return;
    }
    if (path === '/readyz') {
      const ready = !this.stopping && this.fence.reason() === undefined;
      response.writeHead(ready ? 200 : 503);
      response.end(ready ? 'ready\n' : 'not ready\n');
      return;
    }
    this.inFlight += 1;
    try {
      await this.serve(path, request, response);
    } finally {
      this.inFlight -= 1;
    }
  }

  private async serve(
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = randomUUID();
    let end: RequestEnd;
    try {
      const accepted = await this.accept(path, requestId, request);
      end = await this.run(accepted);
    } catch (cause) {
      end = { kind: 'problem', problem: CallerServer.problemOf(cause) };
    }
    CallerServer.write(response, requestId, end);
  }

  private async accept(
    path: string,
    requestId: string,
    request: IncomingMessage,
  ): Promise<AcceptedRequest> {
    const { document } = this.config.state();
    const serviceId = REQUEST_PATH.exec(path)?.[1] ?? '';
    const service = Object.hasOwn(document.services, serviceId)
      ? document.services[serviceId]
      : undefined;
    if (!service || request.method !== 'POST') {
      throw refuse('unknown-service', 404, 'no such service');
    }
    if (this.stopping || this.fence.reason())
      throw refuse('not-ready', 503, 'this entry takes no work now');
    const teamId = CallerServer.teamOf(document, service, request);
    const acceptedAtMs = this.clock.unixMs();
    const body = await CallerServer.readBody(request, service.maxRequestBytes);
    return {
      requestId,
      serviceId,
      service,
      teamId,
      urgency: CallerServer.urgencyOf(request),
      acceptedAtMs,
      deadlineAtMs: acceptedAtMs + service.defaultDeadlineMs,
      contentType: request.headers['content-type'] ?? 'application/octet-stream',
      body,
    };
  }

  private async run(request: AcceptedRequest): Promise<RequestEnd> {
    const trace: RunTrace = { attempts: 0, queuedMs: 0, targetId: undefined, zoneId: undefined };
    const end = await this.runner.run(request, trace);
    this.recorder.record({
      requestId: request.requestId,
      serviceId: request.serviceId,
      teamId: request.teamId,
      urgency: request.urgency,
      ok: end.kind === 'answered',
      problemType: end.kind === 'answered' ? undefined : end.problem.type,
      executed: end.kind === 'answered' ? 'yes' : end.problem.executed,
      attempts: trace.attempts,
      queuedMs: trace.queuedMs,
      totalMs: this.clock.unixMs() - request.acceptedAtMs,
      targetId: trace.targetId,
      zoneId: trace.zoneId,
    });
    return end;
  }

  private static teamOf(
    document: ConfigDocument,
    service: ServiceConfig,
    request: IncomingMessage,
  ): string {
    if (service.access === 'open' && service.openTeamId !== undefined) return service.openTeamId;
    const key = BEARER.exec(request.headers.authorization ?? '')?.[1];
    if (key === undefined) throw refuse('key-missing', 401, 'a bearer key is needed');
    const holder = TeamKey.holder(document, key);
    if (!holder) throw refuse('key-not-valid', 401, 'the key is not valid');
    return holder.teamId;
  }

  private static urgencyOf(request: IncomingMessage): Urgency {
    const urgency = request.headers['x-urgency'] ?? 'urgent';
    if (urgency === 'urgent' || urgency === 'background') return urgency;
    throw refuse('malformed-request', 400, 'x-urgency is neither urgent nor background');
  }

  private static async readBody(request: IncomingMessage, mostBytes: number): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request) {
      bytes += (chunk as Buffer).length;
      if (bytes > mostBytes) throw refuse('request-too-large', 413, 'the body is too large');
      chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
  }

  private static problemOf(cause: unknown): Problem {
    if (cause instanceof RefusedRequest) return cause.problem;
    return { type: 'internal', statusCode: 500, executed: 'unknown', detail: 'unexpected failure' };
  }

  private static write(response: ServerResponse, requestId: string, end: RequestEnd): void {
    response.setHeader('x-request-id', requestId);
    if (end.kind === 'answered') {
      response.writeHead(200, {
        'content-type': end.contentType,
        'content-length': end.body.length,
      });
      response.end(end.body);
      return;
    }
    const { statusCode, retryAfterMs, ...problem } = end.problem;
    if (retryAfterMs !== undefined)
      response.setHeader('retry-after', Math.ceil(retryAfterMs / 1_000));
    const body = Buffer.from(JSON.stringify({ ...problem, status: statusCode, requestId }));
    response.writeHead(statusCode, {
      'content-type': 'application/problem+json',
      'content-length': body.length,
    });
    response.end(body);
  }
}
