/**
 * Carries one accepted request from ticket to answer: asks for grants, sends, retries where that
 * is safe, and ends with the whole answer or a typed problem.
 */
import {
  type Clock,
  type Random,
  type TargetId,
  type Urgency,
  type ZoneId,
} from '@acaciadock/core';
import { type ConfigView, type ServiceConfig } from '@acaciadock/config';
import { type Grant, type GrantOutcome, type Ticket } from '@acaciadock/peers';
import { type Problem } from './Problem.js';
import { type TargetClient, type TargetEnd } from './TargetClient.js';
import { type TicketDesk } from './TicketDesk.js';

export interface AcceptedRequest {
  readonly requestId: string;
  readonly serviceId: string;
  readonly service: ServiceConfig;
  readonly teamId: string;
  readonly urgency: Urgency;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  readonly contentType: string;
  readonly body: Buffer;
}

export interface RunTrace {
  attempts: number;
  queuedMs: number;
  targetId: TargetId | undefined;
  zoneId: ZoneId | undefined;
}

export type RequestEnd =
  | { readonly kind: 'answered'; readonly contentType: string; readonly body: Buffer }
  | { readonly kind: 'problem'; readonly problem: Problem };

const GRANT_OUTCOMES: Readonly<Record<TargetEnd['kind'], GrantOutcome>> = {
  'not-started': 'not-started',
  unreachable: 'unreachable',
  refused: 'target-refused',
  answered: 'succeeded',
  failed: 'failed',
  incomplete: 'unknown',
  'too-large': 'unknown',
};

const NOT_RUN: ReadonlySet<TargetEnd['kind']> = new Set(['not-started', 'unreachable', 'refused']);

function problemOf(end: TargetEnd): Problem {
  if (end.kind === 'failed') {
    const detail = `the target answered ${end.statusCode}`;
    return { type: 'target-failed', statusCode: 502, executed: 'yes', detail };
  }
  if (end.kind === 'too-large') {
    const detail = 'the answer is larger than the service allows';
    return { type: 'answer-too-large', statusCode: 502, executed: 'yes', detail };
  }
  if (NOT_RUN.has(end.kind)) {
    const detail = 'no target took the request';
    return {
      type: 'targets-unreachable',
      statusCode: 503,
      executed: 'no',
      detail,
      retryAfterMs: 1_000,
    };
  }
  const detail = 'the answer did not arrive whole';
  return { type: 'answer-incomplete', statusCode: 502, executed: 'unknown', detail };
}

export class RequestRunner {
  constructor(
    private readonly config: ConfigView,
    private readonly desk: TicketDesk,
    private readonly targets: TargetClient,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  async run(request: AcceptedRequest, trace: RunTrace): Promise<RequestEnd> {
    const avoidTargetIds: TargetId[] = [];
    let last: TargetEnd = { kind: 'unreachable' };
    for (let attempt = 1; attempt <= request.service.maxAttempts; attempt += 1) {
      const queuedAtMs = this.clock.monotonicMs();
      const ticket = RequestRunner.ticketOf(request, attempt, avoidTargetIds);
      const ended = await this.desk.submit(ticket);
      Object.assign(trace, {
        attempts: attempt,
        queuedMs: trace.queuedMs + this.clock.monotonicMs() - queuedAtMs,
      });
      if (ended.kind === 'refused') {
        return RequestRunner.refused(ended.refusal.reason, ended.refusal.retryAfterMs, last);
      }
      last = await this.attempt(request, ended.grant, trace);
      this.desk.end(
        ended.homeEntryId,
        ended.grant,
        GRANT_OUTCOMES[last.kind],
        this.runMs(ended.grant),
      );
      if (last.kind === 'answered') return last;
      if (!RequestRunner.mayRetry(request, last)) break;
      avoidTargetIds.push(ended.grant.targetId);
    }
    return { kind: 'problem', problem: problemOf(last) };
  }

  private async attempt(
    request: AcceptedRequest,
    grant: Grant,
    trace: RunTrace,
  ): Promise<TargetEnd> {
    const instance = this.config.state().document.instances[grant.targetId];
    if (!instance) return { kind: 'not-started' };
    Object.assign(trace, { targetId: grant.targetId, zoneId: instance.zoneId });
    return this.targets.run({
      targetId: grant.targetId,
      address: instance.address,
      connections: instance.connections,
      requestId: request.requestId,
      serviceId: request.serviceId,
      teamId: request.teamId,
      startByMs: grant.startByMs,
      leaseExpiresAtMs: grant.leaseExpiresAtMs,
      body: request.body,
      contentType: request.contentType,
      maxAnswerBytes: request.service.maxAnswerBytes,
    });
  }

  private static ticketOf(
    request: AcceptedRequest,
    attempt: number,
    avoidTargetIds: readonly TargetId[],
  ): Ticket {
    return {
      kind: 'ticket',
      ticketId: `${request.requestId}:${attempt}`,
      serviceId: request.serviceId,
      teamId: request.teamId,
      urgency: request.urgency,
      acceptedAtMs: request.acceptedAtMs,
      deadlineAtMs: request.deadlineAtMs,
      idempotent: request.service.idempotent,
      attempt,
      avoidTargetIds: [...avoidTargetIds],
      avoidRackIds: [],
    };
  }

  private runMs(grant: Grant): number {
    return Math.max(0, this.clock.unixMs() - grant.startByMs);
  }

  private static mayRetry(request: AcceptedRequest, end: TargetEnd): boolean {
    if (NOT_RUN.has(end.kind)) return true;
    return request.service.idempotent && end.kind !== 'too-large';
  }

  private static refused(
    reason: Problem['type'] | 'fenced' | 'stopping',
    retryAfterMs: number,
    last: TargetEnd,
  ): RequestEnd {
    const type = reason === 'fenced' || reason === 'stopping' ? 'not-ready' : reason;
    const executed = NOT_RUN.has(last.kind) ? 'no' : 'unknown';
    const detail = `the request was not granted a run: ${reason}`;
    return { kind: 'problem', problem: { type, statusCode: 503, executed, detail, retryAfterMs } };
  }
}
