import { createHash } from 'node:crypto';
import { describe, it } from '@acaciadock/core/testing';
import { OperatorAccess } from './OperatorAccess.js';

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

const CASES = [
  { name: 'a configured token', authorization: 'Bearer right', allowed: true },
  { name: 'a second configured token', authorization: 'Bearer other', allowed: true },
  { name: 'an unknown token', authorization: 'Bearer wrong', allowed: false },
  { name: 'the hash of a token', authorization: `Bearer ${sha256('right')}`, allowed: false },
  { name: 'a missing header', authorization: undefined, allowed: false },
  { name: 'another authentication scheme', authorization: 'Basic right', allowed: false },
];

describe('OperatorAccess', () => {
  const access = new OperatorAccess([sha256('right'), sha256('other')]);
  CASES.forEach(({ name, authorization, allowed }) => {
    it(`${allowed ? 'allows' : 'rejects'} ${name}`, (t) => {
      t.equal(access.allows(authorization), allowed);
    });
  });

  it('allows every call if no token is configured', (t) => {
    t.equal(new OperatorAccess([]).allows(undefined), true);
  });
});
