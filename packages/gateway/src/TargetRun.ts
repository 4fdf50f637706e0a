/** The parameters of one call to a target, and its callbacks. */
import { type RequestId, type ServiceId, type TargetId, type TeamId } from '@acaciadock/core';
import { type SendBlock, type TargetEnd } from './TargetEnd.js';

export interface TargetRun {
  readonly targetId: TargetId;
  /** `host:port` of the target. */
  readonly address: string;
  readonly requestId: RequestId;
  readonly serviceId: ServiceId;
  readonly teamId: TeamId;
  /** When the target must stop the work, in Unix milliseconds. */
  readonly leaseExpiresAtMs: number;
  /**
   * When the gateway stops waiting for the answer, in Unix milliseconds; undefined if the deadline
   * of the request comes first and aborts the call.
   */
  readonly endsAtMs: number | undefined;
  readonly body: Buffer;
  readonly contentType: string;
  readonly maxAnswerBytes: number;
  /** Maximum number of connections to this target from all entries together. */
  readonly connections: number;
  /** Number of slots of this target. */
  readonly slots: number;

  /** Called right before the first byte; a returned reason blocks the send. */
  mayStart(): SendBlock | undefined;
  /** Called right before the first byte, unless `mayStart` blocked the send. */
  onStart(): void;
  /** Called exactly once. */
  onEnd(end: TargetEnd): void;
}
