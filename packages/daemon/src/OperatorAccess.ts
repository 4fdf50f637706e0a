/**
 * Whether a call carries an operator's token. Only hashes of tokens are known, compared in
 * constant time. With no token configured every call is let through.
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
    const given = createHash('sha256').update(token).digest();
    return this.hashes.some((hash) => timingSafeEqual(hash, given));
  }
}
