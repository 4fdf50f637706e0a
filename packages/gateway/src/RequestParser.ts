/**
 * Parses the head of a caller's request against the current configuration. Has no side effects,
 * and returns either the parsed head or a typed refusal for any input.
 */
import { type ServiceId, type TeamId, type Urgency } from '@acaciadock/core';
import { type ConfigDocument, type ServiceConfig, TeamKey } from '@acaciadock/config';
import { err, ok, type Result } from 'neverthrow';
import { type IdempotencyKey } from './AcceptedRequest.js';
import { type Problem, refusal } from './Problem.js';

const REQUEST_PATH = /^\/v1\/services\/([^/?]+)\/requests$/;
const BEARER = /^Bearer (\S{1,512})$/i;
const POSITIVE_INTEGER = /^[1-9]\d{0,14}$/;
const LENGTH = /^\d{1,15}$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;
const CONTENT_TYPE = /^[\x20-\x7e]{1,256}$/;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

export interface RequestHead {
  readonly method: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

export interface ParsedHead {
  readonly serviceId: ServiceId;
  readonly service: ServiceConfig;
  readonly teamId: TeamId;
  readonly keyId: string | undefined;
  readonly urgency: Urgency;
  readonly deadlineMs: number;
  readonly contentType: string;
  /** The `content-length` of the body; undefined if the caller did not declare it. */
  readonly declaredBytes: number | undefined;
  readonly idempotencyKey: IdempotencyKey | undefined;
}

type Parsed<T> = Result<T, Problem>;

interface ResolvedService {
  readonly serviceId: ServiceId;
  readonly service: ServiceConfig;
}

interface Caller {
  readonly teamId: TeamId;
  readonly keyId: string | undefined;
}

function malformed(detail: string): Problem {
  return refusal('malformed-request', detail);
}

/** The value of a header; undefined if absent. Repeated values are joined, which fails validation. */
function headerValue(head: RequestHead, name: string): string | undefined {
  const value = head.headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
}

function parseService(head: RequestHead, document: ConfigDocument): Parsed<ResolvedService> {
  const [path = ''] = head.url.split('?', 1);
  const serviceId = REQUEST_PATH.exec(path)?.[1];
  if (serviceId === undefined || !Object.hasOwn(document.services, serviceId)) {
    return err(refusal('unknown-service', 'no service of this name'));
  }
  const service = document.services[serviceId];
  if (!service) return err(refusal('unknown-service', 'no service of this name'));
  if (head.method !== 'POST') return err(refusal('method-not-allowed', 'send requests with POST'));
  return ok({ serviceId, service });
}

function parseCaller(
  head: RequestHead,
  document: ConfigDocument,
  service: ServiceConfig,
): Parsed<Caller> {
  if (service.access === 'open' && service.openTeamId !== undefined) {
    return ok({ teamId: service.openTeamId, keyId: undefined });
  }
  const authorization = headerValue(head, 'authorization');
  if (authorization === undefined) return err(refusal('key-missing', 'send a bearer key'));
  const key = BEARER.exec(authorization)?.[1];
  const holder = key === undefined ? undefined : TeamKey.holder(document, key);
  if (!holder) return err(refusal('key-not-valid', 'no team holds this key'));
  return ok(holder);
}

function parseUrgency(head: RequestHead): Parsed<Urgency> {
  const urgency = headerValue(head, 'x-urgency') ?? 'urgent';
  if (urgency === 'urgent' || urgency === 'background') return ok(urgency);
  return err(malformed('x-urgency is neither urgent nor background'));
}

function parseDeadline(head: RequestHead, service: ServiceConfig): Parsed<number> {
  const value = headerValue(head, 'x-deadline-ms');
  if (value === undefined) return ok(service.defaultDeadlineMs);
  if (!POSITIVE_INTEGER.test(value)) {
    return err(malformed('x-deadline-ms is not a positive whole number of milliseconds'));
  }
  return ok(Math.min(Number(value), service.maxDeadlineMs));
}

function parseLength(head: RequestHead, service: ServiceConfig): Parsed<number | undefined> {
  const value = headerValue(head, 'content-length');
  if (value === undefined) return ok(undefined);
  if (!LENGTH.test(value)) return err(malformed('content-length is not a whole number'));
  const bytes = Number(value);
  if (bytes <= service.maxRequestBytes) return ok(bytes);
  const detail = `the body may have at most ${service.maxRequestBytes} bytes`;
  return err(refusal('request-too-large', detail));
}

function parseContentType(head: RequestHead): Parsed<string> {
  const value = headerValue(head, 'content-type') ?? DEFAULT_CONTENT_TYPE;
  return CONTENT_TYPE.test(value) ? ok(value) : err(malformed('content-type is malformed'));
}

function parseIdempotencyKey(
  head: RequestHead,
  service: ServiceConfig,
): Parsed<IdempotencyKey | undefined> {
  const key = headerValue(head, 'idempotency-key');
  if (key === undefined) return ok(undefined);
  if (!IDEMPOTENCY_KEY.test(key)) {
    return err(malformed('idempotency-key is not 1 to 255 visible ASCII characters'));
  }
  if (service.idempotent) return ok(undefined);
  const firstSentAt = headerValue(head, 'x-idempotency-time');
  if (firstSentAt === undefined) {
    const detail = 'x-idempotency-time: when the request was first sent, in Unix milliseconds';
    return err(refusal('idempotency-time-missing', detail));
  }
  if (!POSITIVE_INTEGER.test(firstSentAt)) {
    return err(malformed('x-idempotency-time is not a whole number of milliseconds'));
  }
  return ok({ key, firstSentAtMs: Number(firstSentAt) });
}

/** Parses a request head. Checks are made in the order: service, API key, headers, size. */
export function parseHead(head: RequestHead, document: ConfigDocument): Parsed<ParsedHead> {
  const found = parseService(head, document);
  if (found.isErr()) return err(found.error);
  const { serviceId, service } = found.value;
  const caller = parseCaller(head, document, service);
  if (caller.isErr()) return err(caller.error);
  const urgency = parseUrgency(head);
  if (urgency.isErr()) return err(urgency.error);
  const deadlineMs = parseDeadline(head, service);
  if (deadlineMs.isErr()) return err(deadlineMs.error);
  const contentType = parseContentType(head);
  if (contentType.isErr()) return err(contentType.error);
  const idempotencyKey = parseIdempotencyKey(head, service);
  if (idempotencyKey.isErr()) return err(idempotencyKey.error);
  const declaredBytes = parseLength(head, service);
  if (declaredBytes.isErr()) return err(declaredBytes.error);
  return ok({
    serviceId,
    service,
    teamId: caller.value.teamId,
    keyId: caller.value.keyId,
    urgency: urgency.value,
    deadlineMs: deadlineMs.value,
    contentType: contentType.value,
    declaredBytes: declaredBytes.value,
    idempotencyKey: idempotencyKey.value,
  });
}
