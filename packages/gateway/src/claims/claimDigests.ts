/** Digests of the idempotency key of a caller and of the request that was sent with it. */
import { createHash } from 'node:crypto';
import { type ServiceId, type TeamId } from '@acaciadock/core';

/** 22 base64url characters hold 132 bits of SHA-256, enough to rule out accidental collisions. */
const DIGEST_CHARACTERS = 22;

function digest(parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => {
    hash.update(`${part.length}:`);
    hash.update(part);
  });
  return hash.digest('base64url').slice(0, DIGEST_CHARACTERS);
}

export function claimKeyHash(teamId: TeamId, key: string): string {
  return digest([teamId, key]);
}

export function claimFingerprint(
  serviceId: ServiceId,
  firstSentAtMs: number,
  body: Buffer,
): string {
  return digest([serviceId, String(firstSentAtMs), body]);
}
