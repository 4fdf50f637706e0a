/**
 * Team keys: 256 random bits, shown once. Only the SHA-256 of a key is stored; a slow password hash
 * would add no security, because the key has full entropy. The key contains its team id and key id,
 * so that a check is one look-up and one constant-time comparison.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';
import { type TeamId } from '@acaciadock/core';
import { type ConfigDocument } from './ConfigDocument.js';

const KEY_BYTES = 32;
const KEY_ID_BYTES = 6;
const SEPARATOR = '/';
/** Compared if the team or the key id is unknown; no key is known to have this hash. */
const NO_KEY_SHA256 = '0'.repeat(64);

export interface NewTeamKey {
  readonly keyId: string;
  /** The key to give to the team. It is not stored anywhere. */
  readonly key: string;
  readonly sha256: string;
}

export interface KeyHolder {
  readonly teamId: TeamId;
  readonly keyId: string;
}

function digest(key: string): Buffer {
  return createHash('sha256').update(key).digest();
}

export class TeamKey {
  static create(teamId: TeamId): NewTeamKey {
    const keyId = `k${randomBytes(KEY_ID_BYTES).toString('hex')}`;
    const key = [teamId, keyId, randomBytes(KEY_BYTES).toString('base64url')].join(SEPARATOR);
    return { keyId, key, sha256: digest(key).toString('hex') };
  }

  /** The team and key id of a key in this configuration; undefined if the key is not valid. */
  static holder(document: ConfigDocument, key: string): KeyHolder | undefined {
    const [teamId = '', keyId = ''] = key.split(SEPARATOR);
    const team = Object.hasOwn(document.teams, teamId) ? document.teams[teamId] : undefined;
    const known = team && Object.hasOwn(team.keys, keyId) ? team.keys[keyId] : undefined;
    const expected = Buffer.from(known?.sha256 ?? NO_KEY_SHA256, 'hex');
    if (!timingSafeEqual(digest(key), expected)) return undefined;
    return { teamId, keyId };
  }
}
