/** Digests that stand for a caller's key and for the request that came with it. */
import { createHash } from 'node:crypto';
import { type ServiceId, type TeamId } from '@acaciadock/core';

/** 132 bits of SHA-256: keys of one team never meet by chance. */
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

export function claimFingerprint(serviceId: ServiceId, stampMs: number, body: Buffer): string {
  return digest([serviceId, String(stampMs), body]);
}
