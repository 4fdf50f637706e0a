/**
 * The operations that a target offers, independent of the wire protocol. Each order names the
 * target that it is meant for and carries the owner's fencing token; a target rejects tokens lower
 * than the highest that it has seen.
 */
import { type Result } from 'neverthrow';

/**
 * Timeout of a call, in milliseconds; the wait time of a hold is added to it. It is short because
 * targets answer within a few milliseconds, and the wait for a lost call delays a caller's request.
 */
export const ORDER_TIMEOUT_MS = 250;

export interface TargetAddress {
  readonly targetId: string;
  /** `host:port`. */
  readonly address: string;
}

/** Identifies one run of a task. */
export interface RunRef {
  readonly taskId: string;
  readonly run: number;
}

export interface HoldRequest {
  readonly fencingToken: number;
  /** Ended runs up to this sequence number are durable here, so the target may drop them. */
  readonly lastSeenEnd: number;
  /** New expiry of the target's lease, on the target's clock; undefined extends nothing. */
  readonly leaseUntilMs: number | undefined;
  /** Long-poll time in milliseconds: the target answers when a run ends, or after this time. */
  readonly waitMs: number;
}

export interface RunningTask extends RunRef {
  readonly checkpoint: string;
  /** Share at which the task works, or its progress, depending on the kind of task; 0 to 100. */
  readonly percent: number;
  /** Tail latency of a serving task in milliseconds; thousandths of a core used by any other. */
  readonly loadFigure: number;
}

/**
 * How a run ended, as the target reports it. `lapsed`: the lease expired. `alone`: other members of
 * the gang were missing.
 */
export type ListedEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface EndedRun extends RunRef {
  readonly sequence: number;
  readonly end: ListedEnd;
  readonly checkpoint: string;
}

export interface HoldReport {
  /** The target's clock when it answered. */
  readonly clockMs: number;
  /** Start of the target's current lifetime, Unix milliseconds; 0 if it does not report it. */
  readonly bornMs: number;
  readonly running: readonly RunningTask[];
  /** The ends that are not acknowledged; a target limits how many it lists in one report. */
  readonly ended: readonly EndedRun[];
}

export interface StartOrder extends RunRef {
  readonly spec: string;
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
  readonly checkpoint: string;
  readonly ticket: string;
}

export interface StopOrder extends RunRef {
  readonly fencingToken: number;
}

export interface PaceOrder extends RunRef {
  readonly percent: number;
  readonly fencingToken: number;
}

export interface OrderReceipt {
  /** The target's clock when it accepted the order. */
  readonly clockMs: number;
}

export type OrderFailureKind =
  /** The target has seen a higher fencing token. */
  | 'fenced'
  /** A run of the task with this or a higher number was stopped or has ended on the target. */
  | 'stale-run'
  /** The lease in the order had already expired when it arrived. */
  | 'late'
  | 'no-room'
  | 'ticket-refused'
  /** The process at the address is not the target that the order names. */
  | 'other-lifetime'
  /** The target is unhealthy and did not carry out the order. */
  | 'unhealthy'
  /** No connection could be established, so nothing was sent. */
  | 'unreachable'
  /** The order was malformed. */
  | 'invalid'
  /** The order may have been carried out, or may still be carried out later. */
  | 'unknown-outcome';

export interface OrderFailure {
  readonly kind: OrderFailureKind;
  readonly detail: string;
  /** The entry that relayed the call has not answered, which says nothing of the target. */
  readonly isRelayLost?: boolean;
}

/** Sends orders to targets and reads their reports. */
export abstract class TargetPort {
  /** Extends the target's lease, acknowledges ended runs and returns the target's report. */
  abstract hold(
    target: TargetAddress,
    request: HoldRequest,
  ): Promise<Result<HoldReport, OrderFailure>>;

  abstract start(
    target: TargetAddress,
    order: StartOrder,
  ): Promise<Result<OrderReceipt, OrderFailure>>;

  abstract stop(
    target: TargetAddress,
    order: StopOrder,
  ): Promise<Result<OrderReceipt, OrderFailure>>;

  /** Sets the processor share at which a filler task works. */
  abstract pace(
    target: TargetAddress,
    order: PaceOrder,
  ): Promise<Result<OrderReceipt, OrderFailure>>;

  /** Closes the connections to a target that is gone. */
  abstract forget(target: TargetAddress): void;
}
