/**
 * Stand-in for a target: eight slots, a lease per task, and the ways real targets misbehave. It
 * records every run, which is what tests check outcomes against.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Clock, type TargetId } from '@acaciadock/core';
import { HttpStandIn } from './HttpStandIn.js';

const DEFAULT_SLOTS = 8;

/** What the target does with a request that it was sent. */
export type TargetBehaviour =
  /** Runs it and answers in full. */
  | 'answer'
  /** Answers at once that the work failed. */
  | 'fail-fast'
  /** Cuts the connection before the work begins. */
  | 'cut-before-run'
  /** Runs the work, then cuts the connection without an answer. */
  | 'cut-after-run'
  /** Sends half of the answer, then cuts. */
  | 'cut-midway'
  /** Answers with another request's id. */
  | 'crossed'
  /** Runs and never answers. */
  | 'silent'
  /** Runs at a tenth of the speed. */
  | 'slow';

export interface TargetRun {
  readonly requestId: string;
  readonly teamId: string;
  readonly startedAtMs: number;
  endedAtMs: number | undefined;
}

export class TargetStandIn extends HttpStandIn {
  readonly runs: TargetRun[] = [];

  running = 0;

  mostRunning = 0;

  /** A leaving target still finishes its work and refuses new work. */
  leaving = false;

  /** Chooses the behaviour for each request; may be replaced by a test. */
  behave: (requestId: string) => TargetBehaviour = () => 'answer';

  /** Chooses the run time for each request, in milliseconds. */
  runMs: (body: Buffer) => number = () => 20;

  constructor(
    readonly targetId: TargetId,
    private readonly clock: Clock,
    private readonly slots = DEFAULT_SLOTS,
  ) {
    super();
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
    if (this.refuses(request)) {
      response.setHeader('x-executed', 'no');
      HttpStandIn.send(response, 503, { reason: 'not run' });
      return;
    }
    if (behaviour === 'fail-fast') {
      response.setHeader('x-request-id', requestId);
      HttpStandIn.send(response, 500, { reason: 'failed' });
      return;
    }
    await this.run(request, requestId, body, behaviour);
    this.reply(response, requestId, body, behaviour);
  }

  private refuses(request: IncomingMessage): boolean {
    const leaseExpiresAtMs = Number(request.headers['x-lease-expires-at-ms']);
    if (leaseExpiresAtMs <= this.clock.unixMs()) return true;
    return this.leaving || this.running >= this.slots;
  }

  private async run(
    request: IncomingMessage,
    requestId: string,
    body: Buffer,
    behaviour: TargetBehaviour,
  ): Promise<void> {
    const teamId = String(request.headers['x-team-id']);
    const run: TargetRun = {
      requestId,
      teamId,
      startedAtMs: this.clock.unixMs(),
      endedAtMs: undefined,
    };
    this.runs.push(run);
    this.running += 1;
    this.mostRunning = Math.max(this.mostRunning, this.running);
    const leaseMs = Number(request.headers['x-lease-expires-at-ms']) - this.clock.unixMs();
    const wantedMs = this.runMs(body) * (behaviour === 'slow' ? 10 : 1);
    await this.clock.sleep(Math.min(wantedMs, leaseMs));
    this.running -= 1;
    run.endedAtMs = this.clock.unixMs();
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
    const answer = Buffer.from(
      JSON.stringify({ requestId, targetId: this.targetId, bytes: body.length }),
    );
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': answer.length,
      'x-request-id': behaviour === 'crossed' ? `${requestId}-other` : requestId,
    });
    if (behaviour !== 'cut-midway') {
      response.end(answer);
      return;
    }
    response.write(answer.subarray(0, answer.length / 2), () => response.destroy());
  }
}
