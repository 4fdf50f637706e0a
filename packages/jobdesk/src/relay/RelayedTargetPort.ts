/**
 * Sends calls to targets over the relays that `RelaySelection` chooses, or directly. A call that certainly
 * was not passed on is sent directly instead; one that may have been is reported as such.
 */
import {
  type HoldReport,
  type HoldRequest,
  ORDER_TIMEOUT_MS,
  type OrderFailure,
  type OrderFailureKind,
  type OrderReceipt,
  type PaceOrder,
  type StartOrder,
  type StopOrder,
  type TargetAddress,
  TargetPort,
} from '@acaciadock/execution';
import { err, ok, type Result } from 'neverthrow';
import { type TargetCall, type TargetReply } from './RelayMessages.js';
import { type RelaySelection } from './RelaySelection.js';

/** Failures that may be those of the way from the relay to the target. */
const UNANSWERED_KINDS: ReadonlySet<OrderFailureKind> = new Set(['unknown-outcome', 'unreachable']);

function lost(detail: string): Result<never, OrderFailure> {
  return err({ kind: 'unknown-outcome', detail, isRelayLost: true });
}

export class RelayedTargetPort extends TargetPort {
  /** Targets whose last request for a report came too late at its relay. */
  private readonly expiredTargets = new Set<string>();

  constructor(
    private readonly direct: TargetPort,
    private readonly relays: RelaySelection,
  ) {
    super();
  }

  override async hold(
    target: TargetAddress,
    request: HoldRequest,
  ): Promise<Result<HoldReport, OrderFailure>> {
    const link = this.relays.linkFor(target.targetId);
    if (!link) return this.direct.hold(target, request);
    const done = await link.call(
      { kind: 'hold', target, request },
      request.waitMs + ORDER_TIMEOUT_MS,
    );
    // The request may acknowledge ends, which has to be decided anew after this time.
    if (done.isErr()) {
      if (link.isOpen) this.relays.avoid(target.targetId);
      return lost(done.error.reason);
    }
    const reply = done.value;
    if (reply.kind === 'expired') return this.expired(target);
    this.expiredTargets.delete(target.targetId);
    if (reply.kind === 'failed') return this.failed(target, reply.failure);
    return reply.kind === 'report' ? ok(reply.report) : lost(reply.kind);
  }

  override start(
    target: TargetAddress,
    request: StartOrder,
  ): Promise<Result<OrderReceipt, OrderFailure>> {
    return this.order({ kind: 'start', target, request }, () => this.direct.start(target, request));
  }

  override stop(
    target: TargetAddress,
    request: StopOrder,
  ): Promise<Result<OrderReceipt, OrderFailure>> {
    return this.order({ kind: 'stop', target, request }, () => this.direct.stop(target, request));
  }

  override pace(
    target: TargetAddress,
    request: PaceOrder,
  ): Promise<Result<OrderReceipt, OrderFailure>> {
    return this.order({ kind: 'pace', target, request }, () => this.direct.pace(target, request));
  }

  override forget(target: TargetAddress): void {
    this.expiredTargets.delete(target.targetId);
    this.relays.forget(target.targetId, target.address);
    this.direct.forget(target);
  }

  private async order(
    call: TargetCall,
    sendDirectly: () => Promise<Result<OrderReceipt, OrderFailure>>,
  ): Promise<Result<OrderReceipt, OrderFailure>> {
    const link = this.relays.linkFor(call.target.targetId);
    if (!link) return sendDirectly();
    const done = await link.call(call, ORDER_TIMEOUT_MS);
    const isUnsent = done.isErr() ? done.error.kind === 'not-sent' : done.value.kind === 'expired';
    // The ownership may have ended since the order was decided.
    if (isUnsent && !this.relays.isDisposed) return sendDirectly();
    if (done.isErr()) return lost(done.error.reason);
    const reply: TargetReply = done.value;
    if (reply.kind === 'failed') return this.failed(call.target, reply.failure);
    return reply.kind === 'receipt' ? ok(reply.receipt) : lost(reply.kind);
  }

  /** One request may come late by chance; after two, the target could stay without a report. */
  private expired({ targetId }: TargetAddress): Result<never, OrderFailure> {
    if (this.expiredTargets.delete(targetId)) this.relays.avoid(targetId);
    else this.expiredTargets.add(targetId);
    return lost('expired');
  }

  private failed({ targetId }: TargetAddress, failure: OrderFailure): Result<never, OrderFailure> {
    if (UNANSWERED_KINDS.has(failure.kind)) this.relays.avoid(targetId);
    return err(failure);
  }
}
