/**
 * The HTTP server for callers. Limits the size and the duration of incoming requests, starts a
 * `RequestRun` for each accepted one and writes its result. Owns the sockets; parsing and the
 * handling of a request are in other modules.
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
/** How long the rest of a refused body is still read, so that the caller can read the refusal. */
const REFUSED_BODY_LINGER_MS = 500;

export interface CallerLimits {
  readonly maxHeaderBytes: number;
  /** Time within which the complete request head must arrive. */
  readonly headTimeoutMs: number;
  /** Time within which the complete request must arrive. */
  readonly requestTimeoutMs: number;
  readonly keepAliveMs: number;
  readonly checkPeriodMs: number;
  /** Maximum total size of the request bodies that are held in memory. */
  readonly maxBodyBytes: number;
}

export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  headTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  keepAliveMs: 65_000,
  checkPeriodMs: 1_000,
  maxBodyBytes: 256 * 1024 * 1024,
};

function serverOptions(limits: CallerLimits): ServerOptions {
  return {
    maxHeaderSize: limits.maxHeaderBytes,
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
    this.budget = new BodyBudget(limits.maxBodyBytes);
    const options = serverOptions(limits);
    this.server = tls ? createHttpsServer({ ...options, ...tls }) : createHttpServer(options);
    this.server.maxConnections = MAX_CONNECTIONS;
    this.addServerListeners();
    this.register(
      toDisposable(() => {
        this.server.close();
        this.server.closeAllConnections();
      }),
    );
  }

  /** Number of requests that have not ended yet. */
  get requestsInFlight(): number {
    return this.inFlight;
  }

  /** Total size of the request bodies that are held now. */
  get heldBodyBytes(): number {
    return this.budget.heldBytes;
  }

  /** Uses new certificates for connections accepted from now on. */
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

  /** Stops gracefully: accepts no new requests and waits for those in flight to end. */
  async stop(): Promise<void> {
    this.stopping = true;
    while (this.inFlight > 0) await this.services.clock.sleep(DRAIN_POLL_MS);
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  private addServerListeners(): void {
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
    else if (url === '/readyz') this.answerReadiness(response);
    else void this.serve(request, response);
  }

  private answerReadiness(response: ServerResponse): void {
    const ready = this.currentRefusal() === undefined;
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
    const { document, version } = this.services.config.state();
    if (version === 0) return err(CallerServer.noConfigurationRefusal());
    const head = parseHead({ method, url, headers }, document);
    if (head.isErr()) return head;
    const problem = this.currentRefusal() ?? this.idempotencyKeyRefusal(head.value);
    return problem ? err(problem) : ok(head.value);
  }

  private currentRefusal(): Problem | undefined {
    if (this.stopping) return refusal('not-ready', 'this entry is stopping', RETRY_AFTER_MS);
    if (this.services.config.state().version === 0) return CallerServer.noConfigurationRefusal();
    const reason = this.services.fence.reason();
    if (reason === undefined) return undefined;
    return refusal('not-ready', `this entry is fenced: ${reason}`, RETRY_AFTER_MS);
  }

  /** Before the first configuration is read, any service id would look unknown. */
  private static noConfigurationRefusal(): Problem {
    return refusal('not-ready', 'this entry has read no configuration yet', RETRY_AFTER_MS);
  }

  private idempotencyKeyRefusal({ idempotencyKey }: ParsedHead): Problem | undefined {
    if (!idempotencyKey) return undefined;
    const verdict = this.services.claims.classify(idempotencyKey.firstSentAtMs);
    if (verdict === 'within') return undefined;
    if (verdict === 'too-old') {
      return refusal('claim-expired', 'x-idempotency-time lies before what the log still holds');
    }
    return refusal('idempotency-time-ahead', 'x-idempotency-time lies too far in the future');
  }

  private accepted(requestId: string, head: ParsedHead, body: Buffer): AcceptedRequest {
    const acceptedAtMs = this.services.clock.unixMs();
    return {
      requestId,
      serviceId: head.serviceId,
      service: head.service,
      teamId: head.teamId,
      keyId: head.keyId,
      urgency: head.urgency,
      acceptedAtMs,
      deadlineAtMs: acceptedAtMs + head.deadlineMs,
      contentType: head.contentType,
      body,
      idempotencyKey: head.idempotencyKey,
    };
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
    const timer = this.services.clock.after(REFUSED_BODY_LINGER_MS, () => request.socket.destroy());
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
        if (!response.writableFinished) run.handleCallerDisconnect();
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
