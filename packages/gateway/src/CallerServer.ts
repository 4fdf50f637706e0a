/**
 * The callers' HTTP interface: limits what a caller may send and how slowly, turns requests into
 * runs, and hands each its one end. Parsing and deciding are elsewhere; this class owns sockets.
 */
import { randomUUID } from 'node:crypto';
import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import { createServer as createHttpsServer, type Server as HttpsServer } from 'node:https';
import { type AddressInfo, type Socket } from 'node:net';
import { type SecureContextOptions } from 'node:tls';
import { Disposable, type OutcomeRecorder, toDisposable } from '@acaciadock/core';
import { err, ok, type Result } from 'neverthrow';
import { type AcceptedRequest, type RequestEnd } from './AcceptedRequest.js';
import { AnswerWriter } from './AnswerWriter.js';
import { BodyBudget } from './BodyBudget.js';
import { BodyReader } from './BodyReader.js';
import { callerErrorProblem } from './callerErrors.js';
import { type Problem, refusal } from './Problem.js';
import { type ParsedHead, parseHead } from './RequestParser.js';
import { RequestRun } from './RequestRun.js';
import { type RunServices } from './RunServices.js';

const DRAIN_POLL_MS = 20;
const RETRY_AFTER_MS = 1_000;
const MAX_CONNECTIONS = 20_000;
/** How long the rest of a refused body may still arrive, so that the caller reads its refusal. */
const LINGER_MS = 500;

export interface CallerLimits {
  readonly mostHeaderBytes: number;
  /** Time for the whole head to arrive. */
  readonly headTimeoutMs: number;
  /** Time for the whole request to arrive. */
  readonly requestTimeoutMs: number;
  readonly keepAliveMs: number;
  readonly checkPeriodMs: number;
  /** Bytes of bodies that are held at once. */
  readonly mostBodyBytes: number;
}

export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  mostHeaderBytes: 16 * 1024,
  headTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  keepAliveMs: 65_000,
  checkPeriodMs: 1_000,
  mostBodyBytes: 256 * 1024 * 1024,
};

function serverOptions(limits: CallerLimits): ServerOptions {
  return {
    maxHeaderSize: limits.mostHeaderBytes,
    headersTimeout: limits.headTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: limits.keepAliveMs,
    connectionsCheckingInterval: limits.checkPeriodMs,
  };
}

export class CallerServer extends Disposable {
  private readonly server: Server | HttpsServer;

  private readonly writer: AnswerWriter;

  private readonly budget: BodyBudget;

  private inFlight = 0;

  private stopping = false;

  constructor(
    private readonly services: RunServices,
    private readonly recorder: OutcomeRecorder,
    limits: CallerLimits = DEFAULT_CALLER_LIMITS,
    tls?: SecureContextOptions,
  ) {
    super();
    this.writer = new AnswerWriter(services.clock);
    this.budget = new BodyBudget(limits.mostBodyBytes);
    const options = serverOptions(limits);
    this.server = tls ? createHttpsServer({ ...options, ...tls }) : createHttpServer(options);
    this.server.maxConnections = MAX_CONNECTIONS;
    this.listenToServer();
    this.register(
      toDisposable(() => {
        this.server.close();
        this.server.closeAllConnections();
      }),
    );
  }

  /** Requests that have no end yet. */
  get requestsInFlight(): number {
    return this.inFlight;
  }

  /** Bytes of bodies that are held now. */
  get heldBodyBytes(): number {
    return this.budget.heldBytes;
  }

  /** Takes new certificates for connections that are made from now on. */
  replaceTls(tls: SecureContextOptions): void {
    if ('setSecureContext' in this.server) this.server.setSecureContext(tls);
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
    while (this.inFlight > 0) await this.services.clock.sleep(DRAIN_POLL_MS);
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  private listenToServer(): void {
    this.server.on('request', (request, response) => this.handle(request, response));
    this.server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
      const problem = refusal('expectation-failed', 'only 100-continue is supported');
      this.writer.write(response, randomUUID(), { kind: 'problem', problem });
    });
    this.server.on('clientError', (error: Error, socket: Socket) => {
      if (!socket.writable || socket.bytesWritten > 0) {
        socket.destroy();
        return;
      }
      AnswerWriter.writeRaw(socket, randomUUID(), callerErrorProblem(error));
    });
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const { url } = request;
    if (url === '/healthz') response.end('ok\n');
    else if (url === '/readyz') this.answerReady(response);
    else void this.serve(request, response);
  }

  private answerReady(response: ServerResponse): void {
    const ready = this.refusalNow() === undefined;
    response.writeHead(ready ? 200 : 503);
    response.end(ready ? 'ready\n' : 'not ready\n');
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = randomUUID();
    this.inFlight += 1;
    const head = this.readHead(request);
    if (head.isErr()) {
      this.refuse(request, response, requestId, head.error);
      this.inFlight -= 1;
      return;
    }
    const reader = new BodyReader(this.budget, head.value.service.maxRequestBytes);
    const body = await reader.read(request, head.value.declaredBytes);
    if (body.isErr()) this.refuse(request, response, requestId, body.error);
    else await this.run(this.accepted(requestId, head.value, body.value), response);
    reader.release();
    this.inFlight -= 1;
  }

  private readHead(request: IncomingMessage): Result<ParsedHead, Problem> {
    const { method = '', url = '', headers } = request;
    const { document } = this.services.config.state();
    const head = parseHead({ method, url, headers }, document);
    if (head.isErr()) return head;
    const problem = this.refusalNow() ?? this.markRefusal(head.value);
    return problem ? err(problem) : ok(head.value);
  }

  private refusalNow(): Problem | undefined {
    if (this.stopping) return refusal('not-ready', 'this entry is stopping', RETRY_AFTER_MS);
    const reason = this.services.fence.reason();
    if (reason === undefined) return undefined;
    return refusal('not-ready', `this entry is fenced: ${reason}`, RETRY_AFTER_MS);
  }

  private markRefusal({ mark }: ParsedHead): Problem | undefined {
    if (!mark) return undefined;
    const verdict = this.services.claims.judge(mark.stampMs);
    if (verdict === 'within') return undefined;
    if (verdict === 'too-old') {
      return refusal('claim-expired', 'x-idempotency-time lies before what the log still holds');
    }
    return refusal('idempotency-time-ahead', 'x-idempotency-time lies too far in the future');
  }

  private accepted(requestId: string, head: ParsedHead, body: Buffer): AcceptedRequest {
    const acceptedAtMs = this.services.clock.unixMs();
    const deadlineAtMs = acceptedAtMs + head.deadlineMs;
    return { ...head, requestId, acceptedAtMs, deadlineAtMs, body };
  }

  private refuse(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
    problem: Problem,
  ): void {
    this.writer.write(response, requestId, { kind: 'problem', problem });
    if (request.complete) return;
    request.resume();
    const timer = this.services.clock.after(LINGER_MS, () => request.socket.destroy());
    request.once('close', () => timer.dispose());
  }

  private run(accepted: AcceptedRequest, response: ServerResponse): Promise<void> {
    return new Promise((resolve) => {
      const run = new RequestRun(accepted, this.services, (end) => {
        this.writer.write(response, accepted.requestId, end);
        this.record(accepted, run, end);
        resolve();
      });
      response.once('close', () => {
        if (!response.writableFinished) run.callerGone();
      });
      run.start();
    });
  }

  private record(accepted: AcceptedRequest, { trace }: RequestRun, end: RequestEnd): void {
    const { requestId, serviceId, teamId, urgency } = accepted;
    this.recorder.record({
      requestId,
      serviceId,
      teamId,
      urgency,
      ok: end.kind === 'answered',
      problemType: end.kind === 'problem' ? end.problem.type : undefined,
      executed: end.kind === 'problem' ? end.problem.executed : 'yes',
      attempts: trace.attempts,
      queuedMs: trace.queuedMs,
      totalMs: this.services.clock.unixMs() - accepted.acceptedAtMs,
      targetId: trace.targetId,
      zoneId: trace.zoneId,
    });
  }
}
