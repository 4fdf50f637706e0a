/**
 * Stand-in for a target with a limited number of slots, eight by default. It stops work whose lease
 * expires and can be made to misbehave as real targets do. It records every run, so that tests can
 * compare the outcomes that callers saw with what was actually run.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { type Clock, type TargetId } from '@acaciadock/core';
import { HttpStandIn } from './HttpStandIn.js';
import { type TargetBehaviour } from './TargetBehaviour.js';

const DEFAULT_SLOTS = 8;
const JOB_CHARACTERS = 64;
const OVERSIZE_BYTES = 65 * 1024 * 1024;
const SLOW_FACTOR = 10;

export interface TargetRun {
  readonly requestId: string;
  readonly teamId: string;
  /** The first characters of the body, which identify the work in a test. */
  readonly job: string;
  readonly startedAtMs: number;
  endedAtMs: number | undefined;
}

export class TargetStandIn extends HttpStandIn {
  readonly runs: TargetRun[] = [];

  running = 0;

  peakRunning = 0;

  connections = 0;

  peakConnections = 0;

  /** A leaving target finishes its work, refuses new work and fails its health check. */
  leaving = false;

  /** Chooses the behaviour for each request; tests replace it. */
  behave: (requestId: string) => TargetBehaviour = () => 'answer';

  /** Chooses the run time for each request, in milliseconds; tests replace it. */
  runMs: (body: Buffer) => number = () => 20;

  constructor(
    readonly targetId: TargetId,
    private readonly clock: Clock,
    private readonly slots = DEFAULT_SLOTS,
  ) {
    super();
    this.server.on('connection', (socket: Socket) => this.countConnection(socket));
  }

  protected override async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === '/health') {
      HttpStandIn.send(response, this.leaving ? 503 : 200, {});
      return;
    }
    const requestId = String(request.headers['x-request-id']);
    const behaviour = this.behave(requestId);
    if (behaviour === 'cut-before-run') {
      response.destroy();
      return;
    }
    const body = await HttpStandIn.readBody(request);
    response.setHeader('x-request-id', requestId);
    if (behaviour === 'refuse' || behaviour === 'crossed-refusal' || this.refuses(request)) {
      if (behaviour === 'crossed-refusal') response.setHeader('x-request-id', `${requestId}-other`);
      response.setHeader('x-executed', 'no');
      HttpStandIn.send(response, 503, { reason: 'not run' });
      if (behaviour === 'crossed-refusal') await this.run(request, requestId, body, behaviour);
      return;
    }
    if (behaviour === 'fail-fast' || behaviour === 'reject') {
      HttpStandIn.send(response, behaviour === 'reject' ? 422 : 500, { reason: behaviour });
      return;
    }
    const isDone = await this.run(request, requestId, body, behaviour);
    if (isDone) this.reply(response, requestId, body, behaviour);
    else HttpStandIn.send(response, 500, { reason: 'the lease lapsed' });
  }

  private countConnection(socket: Socket): void {
    this.connections += 1;
    this.peakConnections = Math.max(this.peakConnections, this.connections);
    socket.once('close', () => {
      this.connections -= 1;
    });
  }

  /** Whether the work is meant for another target, its lease has expired, or there is no room. */
  private refuses(request: IncomingMessage): boolean {
    const intendedTargetId = request.headers['x-target-id'];
    if (intendedTargetId !== undefined && intendedTargetId !== this.targetId) return true;
    const leaseExpiresAtMs = Number(request.headers['x-lease-expires-at-ms']);
    if (leaseExpiresAtMs <= this.clock.unixMs()) return true;
    return this.leaving || this.running >= this.slots;
  }

  /** Runs the work; returns false if its lease expired first and stopped it. */
  private async run(
    request: IncomingMessage,
    requestId: string,
    body: Buffer,
    behaviour: TargetBehaviour,
  ): Promise<boolean> {
    const run: TargetRun = {
      requestId,
      teamId: String(request.headers['x-team-id']),
      job: body.toString('utf8', 0, JOB_CHARACTERS),
      startedAtMs: this.clock.unixMs(),
      endedAtMs: undefined,
    };
    this.runs.push(run);
    this.running += 1;
    this.peakRunning = Math.max(this.peakRunning, this.running);
    const leaseMs = Number(request.headers['x-lease-expires-at-ms']) - this.clock.unixMs();
    const wantedMs = this.runMs(body) * (behaviour === 'slow' ? SLOW_FACTOR : 1);
    const runMs = Math.min(wantedMs, leaseMs);
    if (runMs > 0) await this.clock.sleep(runMs);
    this.running -= 1;
    run.endedAtMs = this.clock.unixMs();
    return wantedMs <= leaseMs;
  }

  private reply(
    response: ServerResponse,
    requestId: string,
    body: Buffer,
    behaviour: TargetBehaviour,
  ): void {
    if (behaviour === 'silent') return;
    if (behaviour === 'cut-after-run') {
      response.destroy();
      return;
    }
    const answer = this.answerBytes(requestId, body, behaviour);
    const half = answer.subarray(0, answer.length / 2);
    response.writeHead(200, TargetStandIn.answerHeaders(requestId, answer, behaviour));
    if (behaviour === 'cut-midway') response.write(half, () => response.destroy());
    else if (behaviour === 'cut-chunks') response.write(half, () => response.socket?.end());
    else if (behaviour === 'stall') response.write(half);
    else response.end(answer);
  }

  private answerBytes(requestId: string, body: Buffer, behaviour: TargetBehaviour): Buffer {
    if (behaviour === 'oversize') return Buffer.alloc(OVERSIZE_BYTES);
    const job = body.toString('utf8', 0, JOB_CHARACTERS);
    const { targetId } = this;
    return Buffer.from(JSON.stringify({ requestId, targetId, bytes: body.length, job }));
  }

  private static answerHeaders(
    requestId: string,
    answer: Buffer,
    behaviour: TargetBehaviour,
  ): Record<string, string | number> {
    const headers: Record<string, string | number> = {
      'content-type': 'application/json',
      'x-request-id': behaviour === 'crossed' ? `${requestId}-other` : requestId,
    };
    if (behaviour === 'answer-chunked') return headers;
    if (behaviour === 'cut-chunks') {
      return { ...headers, 'transfer-encoding': 'chunked', connection: 'close' };
    }
    if (behaviour === 'no-length') {
      return { ...headers, 'transfer-encoding': 'identity', connection: 'close' };
    }
    return { ...headers, 'content-length': answer.length };
  }
}
