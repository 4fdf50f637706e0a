import { createHash } from 'node:crypto';
import { describe, it } from '@acaciadock/core/testing';
import { OperatorAccess } from './OperatorAccess.js';

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

const CASES = [
  { name: 'the token', authorization: 'Bearer right', allowed: true },
  { name: 'a second token', authorization: 'Bearer other', allowed: true },
  { name: 'another token', authorization: 'Bearer wrong', allowed: false },
  { name: 'the hash itself', authorization: `Bearer ${sha256('right')}`, allowed: false },
  { name: 'no header', authorization: undefined, allowed: false },
  { name: 'another scheme', authorization: 'Basic right', allowed: false },
];

describe('OperatorAccess', () => {
  const access = new OperatorAccess([sha256('right'), sha256('other')]);
  CASES.forEach(({ name, authorization, allowed }) => {
    it(`${allowed ? 'lets in' : 'keeps out'} ${name}`, (t) => {
      t.equal(access.allows(authorization), allowed);
    });
  });

  it('asks for nothing where no token is configured', (t) => {
    t.equal(new OperatorAccess([]).allows(undefined), true);
  });
});
