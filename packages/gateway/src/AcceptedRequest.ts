/** A request that the gateway has taken on, and the ways it can end for the caller. */
import { type RequestId, type ServiceId, type TeamId, type Urgency } from '@acaciadock/core';
import { type ServiceConfig } from '@acaciadock/config';
import { type Problem } from './Problem.js';
import { type WholeAnswer } from './TargetEnd.js';

/** The caller's word for one piece of work, by which a repeat is known. */
export interface IdempotencyMark {
  readonly key: string;
  /** When the caller first sent it, milliseconds since the Unix epoch, by its own clock. */
  readonly stampMs: number;
}

export interface AcceptedRequest {
  readonly requestId: RequestId;
  readonly serviceId: ServiceId;
  readonly service: ServiceConfig;
  readonly teamId: TeamId;
  /** The key that came with it; undefined for a service that is open to all. */
  readonly keyId: string | undefined;
  readonly urgency: Urgency;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  readonly contentType: string;
  readonly body: Buffer;
  readonly mark: IdempotencyMark | undefined;
}

export type RequestEnd =
  | { readonly kind: 'answered'; readonly answer: WholeAnswer; readonly isReplay: boolean }
  | { readonly kind: 'problem'; readonly problem: Problem };
