/**
 * The calls that a target takes, in this project's words. Each order names the target's lifetime
 * and carries the fencing token of the owner; a target obeys no lower token than it has seen.
 */
import { type Result } from 'neverthrow';

/**
 * A call without an answer by then counts as lost, in milliseconds; a report's time to wait comes
 * on top. Targets answer in a few milliseconds, and all waiting for a lost call is paid by a caller.
 */
export const ORDER_TIMEOUT_MS = 250;

export interface TargetAddress {
  readonly targetId: string;
  /** `host:port`. */
  readonly address: string;
}

export interface RunRef {
  readonly taskId: string;
  readonly run: number;
}

export interface HoldRequest {
  readonly fencingToken: number;
  /** Ends up to this number are durable here and may be forgotten there. */
  readonly lastSeenEnd: number;
  /** Lease for everything that runs there, on the target's clock; undefined extends nothing. */
  readonly leaseUntilMs: number | undefined;
  /** The target answers when a run ends, or after this time. */
  readonly waitMs: number;
}

export interface RunningTask extends RunRef {
  readonly checkpoint: string;
  /** Share at which it works, or its progress. */
  readonly percent: number;
  /** Tail in milliseconds of a serving task; thousandths of a core in use of any other. */
  readonly loadFigure: number;
}

export type ListedEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface EndedRun extends RunRef {
  readonly sequence: number;
  readonly end: ListedEnd;
  readonly checkpoint: string;
}

export interface HoldReport {
  readonly clockMs: number;
  /** Start of the target's lifetime, Unix milliseconds; 0 if the target does not tell. */
  readonly bornMs: number;
  readonly running: readonly RunningTask[];
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
  readonly clockMs: number;
}

export type OrderFailureKind =
  /** Another owner has used a higher fencing token. */
  | 'fenced'
  /** A run that is as high was stopped or has ended there. */
  | 'stale-run'
  /** Its lease time has passed. */
  | 'late'
  | 'no-room'
  | 'ticket-refused'
  /** Another lifetime answers at that address. */
  | 'other-lifetime'
  /** The target is unhealthy and has done nothing. */
  | 'unhealthy'
  /** No connection came about, so nothing was sent. */
  | 'unreachable'
  /** The order was malformed. */
  | 'invalid'
  /** It may have been carried out, or may be later. */
  | 'unknown-outcome';

export interface OrderFailure {
  readonly kind: OrderFailureKind;
  readonly detail: string;
}

export abstract class TargetPort {
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

  abstract pace(
    target: TargetAddress,
    order: PaceOrder,
  ): Promise<Result<OrderReceipt, OrderFailure>>;

  /** Closes the connections to a target that is gone. */
  abstract forget(target: TargetAddress): void;
}
