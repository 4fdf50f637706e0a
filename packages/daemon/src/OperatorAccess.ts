/**
 * Checks whether a call carries a valid operator token. Only hashes of the tokens are stored, and
 * they are compared in constant time. If no token is configured, every call is allowed.
 */
import { createHash, timingSafeEqual } from 'node:crypto';

const BEARER = /^Bearer (\S+)$/;

export class OperatorAccess {
  private readonly hashes: readonly Buffer[];

  constructor(tokenSha256s: readonly string[]) {
    this.hashes = tokenSha256s.map((hash) => Buffer.from(hash, 'hex'));
  }

  allows(authorization: string | undefined): boolean {
    if (this.hashes.length === 0) return true;
    const token = BEARER.exec(authorization ?? '')?.[1];
    if (token === undefined) return false;
    const digest = createHash('sha256').update(token).digest();
    return this.hashes.some((hash) => timingSafeEqual(hash, digest));
  }
}
