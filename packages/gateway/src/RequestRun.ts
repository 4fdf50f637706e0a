/**
 * Drives one accepted request from its claim to its end: requests grants, sends the work to
 * targets and retries where that is safe. The request ends for the caller exactly once: with an
 * answer, with a problem, or immediately when the deadline passes or the caller disconnects. A
 * non-idempotent send that has started still runs to completion, so that the credit accounting
 * and the answer kept for repeats are correct.
 */
import { type Executed, type IDisposable, type TargetId, type ZoneId } from '@acaciadock/core';
import { type Grant, type Ticket } from '@acaciadock/peers';
import { type AcceptedRequest, type RequestEnd } from './AcceptedRequest.js';
import { KeyedClaim } from './KeyedClaim.js';
import { type ReceivedGrant, type TicketEnd } from './OpenTicket.js';
import { type Problem, type ProblemType } from './Problem.js';
import { refusalProblem } from './refusals.js';
import { RequestState } from './RequestState.js';
import { type RunServices } from './RunServices.js';
import { type TargetCall } from './TargetCall.js';
import { interpretEnd, endProblem, type SendBlock, type TargetEnd } from './TargetEnd.js';

const RETRY_JITTER_MS = 40;
const RETRY_AFTER_MS = 1_000;

/** What the outcome record of a request contains about its attempts. */
export interface RunTrace {
  attempts: number;
  /** Total time for which the tickets of all attempts waited. */
  queuedMs: number;
  /** Target of the last attempt that was granted. */
  targetId: TargetId | undefined;
  zoneId: ZoneId | undefined;
}

export class RequestRun {
  readonly trace: RunTrace = { attempts: 0, queuedMs: 0, targetId: undefined, zoneId: undefined };

  private readonly state: RequestState;

  private readonly claim: KeyedClaim | undefined;

  private readonly avoidTargetIds: string[] = [];

  private readonly avoidRackIds: string[] = [];

  private deadline: IDisposable | undefined;

  private retry: IDisposable | undefined;

  private call: TargetCall | undefined;

  private queuedAtMs = 0;

  private sentAtMs: number | undefined;

  constructor(
    private readonly request: AcceptedRequest,
    private readonly services: RunServices,
    private readonly settle: (end: RequestEnd) => void,
  ) {
    const { service, idempotencyKey } = request;
    this.state = new RequestState(service.idempotent, service.maxAttempts);
    if (idempotencyKey && !service.idempotent)
      this.claim = new KeyedClaim(request, idempotencyKey, services);
  }

  start(): void {
    const { clock } = this.services;
    const leftMs = Math.max(0, this.request.deadlineAtMs - clock.unixMs());
    this.deadline = clock.after(leftMs, () => this.giveUp(this.deadlineProblem()));
    if (this.claim) void this.startClaimed(this.claim);
    else this.queue();
  }

  /** Called when the caller has disconnected. */
  handleCallerDisconnect(): void {
    this.giveUp({ type: 'cancelled', detail: 'the caller went away' });
  }

  private get isEnded(): boolean {
    return this.state.phase === 'ended';
  }

  private get ticketId(): string {
    return `${this.request.requestId}:${this.state.attempts}`;
  }

  private async startClaimed(claim: KeyedClaim): Promise<void> {
    const result = await claim.run();
    if (!result || this.isEnded) return;
    if (result.kind === 'first') this.queue();
    else if (result.kind === 'replay') {
      this.finish({ kind: 'answered', answer: result.answer, isReplay: true }, 'yes');
    } else this.fail(result.problem, result.knownExecuted);
  }

  private queue(): void {
    this.state.queue();
    this.trace.attempts = this.state.attempts;
    this.queuedAtMs = this.services.clock.monotonicMs();
    this.services.dispatch.submit(this.ticket(), (end) => this.handleTicketEnd(end));
  }

  private ticket(): Ticket {
    const { request } = this;
    return {
      kind: 'ticket',
      ticketId: this.ticketId,
      serviceId: request.serviceId,
      teamId: request.teamId,
      urgency: request.urgency,
      acceptedAtMs: request.acceptedAtMs,
      deadlineAtMs: request.deadlineAtMs,
      idempotent: request.service.idempotent,
      attempt: this.state.attempts,
      avoidTargetIds: this.avoidTargetIds,
      avoidRackIds: this.avoidRackIds,
    };
  }

  private handleTicketEnd(end: TicketEnd): void {
    this.trace.queuedMs += this.services.clock.monotonicMs() - this.queuedAtMs;
    if (end.kind === 'refused') {
      this.fail(refusalProblem(end.refusal));
      return;
    }
    this.state.grant();
    this.send(end);
  }

  private send(received: ReceivedGrant): void {
    const { grant } = received;
    const { request, services } = this;
    const instance = services.config.state().document.instances[grant.targetId];
    if (!instance) {
      this.handleAttemptEnd(received, { kind: 'not-started', block: 'target-left' });
      return;
    }
    this.trace.targetId = grant.targetId;
    this.trace.zoneId = instance.zoneId;
    this.sentAtMs = undefined;
    this.call = services.targets.start({
      targetId: grant.targetId,
      address: instance.address,
      connections: instance.connections,
      slots: instance.slots,
      requestId: request.requestId,
      serviceId: request.serviceId,
      teamId: request.teamId,
      leaseExpiresAtMs: grant.leaseExpiresAtMs,
      endsAtMs: this.endsAtMs(grant),
      body: request.body,
      contentType: request.contentType,
      maxAnswerBytes: request.service.maxAnswerBytes,
      mayStart: () => this.findSendBlock(received),
      onStart: () => this.recordSendStart(),
      onEnd: (end) => this.handleAttemptEnd(received, end),
    });
  }

  /** An idempotent send is aborted at the deadline, so it needs no timer for a later lease expiry. */
  private endsAtMs({ leaseExpiresAtMs }: Grant): number | undefined {
    const { deadlineAtMs, service } = this.request;
    return service.idempotent && deadlineAtMs <= leaseExpiresAtMs ? undefined : leaseExpiresAtMs;
  }

  /** The final check before the first byte: the process may have been paused since the grant. */
  private findSendBlock({ grant, startByMonotonicMs }: ReceivedGrant): SendBlock | undefined {
    const { clock, config, fence } = this.services;
    if (this.isEnded) return 'request-ended';
    if (clock.unixMs() >= grant.startByMs) return 'start-by-passed';
    if (clock.monotonicMs() >= startByMonotonicMs) return 'start-by-passed';
    if (fence.reason()) return 'fenced';
    const { teamId, keyId } = this.request;
    if (keyId === undefined) return undefined;
    const keys = config.state().document.teams[teamId]?.keys;
    return keys && Object.hasOwn(keys, keyId) ? undefined : 'key-withdrawn';
  }

  private recordSendStart(): void {
    this.sentAtMs = this.services.clock.monotonicMs();
    this.state.send();
  }

  private handleAttemptEnd({ grant, homeEntryId }: ReceivedGrant, end: TargetEnd): void {
    const { outcome, verdict } = interpretEnd(end);
    this.services.dispatch.end(homeEntryId, grant, outcome, this.runMs());
    if (this.isEnded) {
      this.keepLateAnswer(end);
      return;
    }
    this.state.endAttempt(verdict);
    if (end.kind === 'answered') {
      this.finish({ kind: 'answered', answer: end.answer, isReplay: false }, 'yes');
      return;
    }
    this.retryOrFail(grant, end);
  }

  private runMs(): number {
    return this.sentAtMs === undefined ? 0 : this.services.clock.monotonicMs() - this.sentAtMs;
  }

  private retryOrFail(grant: Grant, end: TargetEnd): void {
    const { clock, config, random } = this.services;
    const canRetry = interpretEnd(end).retry && this.state.mayQueue;
    if (!canRetry) {
      const isNotRun = this.state.executed() === 'no';
      this.fail({ ...endProblem(end), ...(isNotRun ? { retryAfterMs: RETRY_AFTER_MS } : {}) });
      return;
    }
    this.avoidTargetIds.push(grant.targetId);
    const rackId = config.state().document.instances[grant.targetId]?.rackId;
    if (rackId !== undefined) this.avoidRackIds.push(rackId);
    const delayMs = random.next() * RETRY_JITTER_MS * this.state.attempts;
    this.retry = clock.after(delayMs, () => this.queue());
  }

  private deadlineProblem(): Omit<Problem, 'executed'> {
    const detail = 'the deadline of the request passed';
    const type: ProblemType =
      this.state.phase === 'sent' ? this.missingAnswerType() : 'queue-timeout';
    return { type, detail };
  }

  private missingAnswerType(): ProblemType {
    return this.call?.hasFirstByte ? 'answer-stalled' : 'no-first-byte';
  }

  /** Ends the request for the caller immediately, in whatever phase it is. */
  private giveUp(problem: Omit<Problem, 'executed'>): void {
    if (this.isEnded) return;
    const { phase } = this.state;
    if (phase === 'queued') this.services.dispatch.cancel(this.ticketId);
    this.claim?.abandon();
    this.fail(problem);
    if (phase === 'granted' || (phase === 'sent' && this.request.service.idempotent)) {
      this.call?.abort();
    }
  }

  private fail(problem: Omit<Problem, 'executed'>, knownExecuted: Executed = 'no'): void {
    const isSent = this.state.phase === 'sent';
    const executed = this.state.end(knownExecuted);
    if (executed === 'no') this.claim?.end({ kind: 'not-run' });
    else if (!isSent) this.claim?.end({ kind: 'no-answer' });
    this.settleCaller({ kind: 'problem', problem: { ...problem, executed } });
  }

  private finish(end: RequestEnd & { kind: 'answered' }, knownExecuted: Executed): void {
    this.state.end(knownExecuted);
    this.claim?.end({ kind: 'answered', answer: end.answer });
    this.settleCaller(end);
  }

  /** Stores an answer that came too late for the caller, for repeats of a keyed request. */
  private keepLateAnswer(end: TargetEnd): void {
    if (end.kind === 'answered') this.claim?.end({ kind: 'answered', answer: end.answer });
    else this.claim?.end({ kind: 'no-answer' });
  }

  private settleCaller(end: RequestEnd): void {
    this.deadline?.dispose();
    this.retry?.dispose();
    this.settle(end);
  }
}
