/** A request that the gateway has accepted, and the ways in which it can end for the caller. */
import { type RequestId, type ServiceId, type TeamId, type Urgency } from '@acaciadock/core';
import { type ServiceConfig } from '@acaciadock/config';
import { type Problem } from './Problem.js';
import { type CompleteAnswer } from './TargetEnd.js';

/** Identifies one piece of work of a caller, so that a repeated request is recognised. */
export interface IdempotencyKey {
  readonly key: string;
  /** When the caller first sent the request, Unix milliseconds by the caller's clock. */
  readonly firstSentAtMs: number;
}

export interface AcceptedRequest {
  readonly requestId: RequestId;
  readonly serviceId: ServiceId;
  readonly service: ServiceConfig;
  readonly teamId: TeamId;
  /** Id of the API key of the request; undefined for a service that needs no key. */
  readonly keyId: string | undefined;
  readonly urgency: Urgency;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  readonly contentType: string;
  readonly body: Buffer;
  readonly idempotencyKey: IdempotencyKey | undefined;
}

export type RequestEnd =
  | { readonly kind: 'answered'; readonly answer: CompleteAnswer; readonly isReplay: boolean }
  | { readonly kind: 'problem'; readonly problem: Problem };
