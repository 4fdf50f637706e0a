/** What a send to a target needs, and whom it tells. */
import { type RequestId, type ServiceId, type TargetId, type TeamId } from '@acaciadock/core';
import { type SendBlock, type TargetEnd } from './TargetEnd.js';

export interface TargetRun {
  readonly targetId: TargetId;
  /** `host:port` of the target. */
  readonly address: string;
  readonly requestId: RequestId;
  readonly serviceId: ServiceId;
  readonly teamId: TeamId;
  /** The target stops the work at this instant, milliseconds since the Unix epoch. */
  readonly leaseExpiresAtMs: number;
  /** The gateway stops waiting at this instant, milliseconds since the Unix epoch. */
  readonly endsAtMs: number;
  readonly body: Buffer;
  readonly contentType: string;
  readonly maxAnswerBytes: number;
  /** Connections to this target over all entries. */
  readonly connections: number;
  /** Slots of this target. */
  readonly slots: number;

  /** Asked right before the first byte; a reason keeps the request from being sent. */
  mayStart(): SendBlock | undefined;
  /** Called right before the first byte. */
  onStart(): void;
  /** Called once, with the end. */
  onEnd(end: TargetEnd): void;
}
