import { TeamKey } from '@acaciadock/config';
import { describe, it } from '@acaciadock/core/testing';
import { exampleDocument } from '@acaciadock/testkit';
import fc from 'fast-check';
import { PROBLEM_TYPES } from './Problem.js';
import { type ParsedHead, parseHead, type RequestHead } from './RequestParser.js';

const SEED = 5_002;
const RUNS = 5_000;

const document = exampleDocument({
  targets: [],
  teams: { bench: { share: 1, limit: 1 } },
  services: { advice: { idempotent: true }, claim: { idempotent: false } },
});
const created = TeamKey.create('bench');
const { bench } = document.teams;
if (bench) bench.keys[created.keyId] = { sha256: created.sha256, grantedAtMs: 0, note: '' };

function head(changes: Partial<RequestHead>, headers: RequestHead['headers'] = {}): RequestHead {
  const authorization = `Bearer ${created.key}`;
  const url = '/v1/services/advice/requests';
  return { method: 'POST', url, ...changes, headers: { authorization, ...headers } };
}

function accepted(request: RequestHead): Partial<ParsedHead> {
  const parsed = parseHead(request, document);
  return parsed.isOk() ? parsed.value : {};
}

const claimUrl = { url: '/v1/services/claim/requests' };

describe('parseHead', () => {
  describe('refusals', () => {
    const cases: readonly [string, RequestHead, string][] = [
      ['another path', head({ url: '/v1/services' }), 'unknown-service'],
      ['an unknown service', head({ url: '/v1/services/x/requests' }), 'unknown-service'],
      [
        'a property name of Object as service',
        head({ url: '/v1/services/__proto__/requests' }),
        'unknown-service',
      ],
      ['GET', head({ method: 'GET' }), 'method-not-allowed'],
      ['no key', { ...head({}), headers: {} }, 'key-missing'],
      ['another authorization scheme', head({}, { authorization: 'Basic eDp5' }), 'key-not-valid'],
      [
        'a key that no team holds',
        head({}, { authorization: 'Bearer bench/k0/x' }),
        'key-not-valid',
      ],
      [
        'a property name of Object as key',
        head({}, { authorization: 'Bearer __proto__/k/x' }),
        'key-not-valid',
      ],
      ['an unknown urgency', head({}, { 'x-urgency': 'soon' }), 'malformed-request'],
      ['a deadline of 0', head({}, { 'x-deadline-ms': '0' }), 'malformed-request'],
      ['a deadline of 1e3', head({}, { 'x-deadline-ms': '1e3' }), 'malformed-request'],
      ['a repeated deadline', head({}, { 'x-deadline-ms': ['1', '2'] }), 'malformed-request'],
      ['a negative length', head({}, { 'content-length': '-1' }), 'malformed-request'],
      [
        'a length that is too large',
        head({}, { 'content-length': '99999999' }),
        'request-too-large',
      ],
      ['a content type in Latin-1', head({}, { 'content-type': 'tÿpe' }), 'malformed-request'],
      ['an empty idempotency key', head(claimUrl, { 'idempotency-key': '' }), 'malformed-request'],
      [
        'an idempotency key without a time',
        head(claimUrl, { 'idempotency-key': 'a' }),
        'idempotency-time-missing',
      ],
      [
        'an idempotency time that is not a number',
        head(claimUrl, { 'idempotency-key': 'a', 'x-idempotency-time': 'now' }),
        'malformed-request',
      ],
    ];
    cases.forEach(([name, request, type]) => {
      it(`answers ${name} with ${type}`, (t) => {
        const parsed = parseHead(request, document);
        t.equal(parsed.isErr() && parsed.error.type, type);
        t.equal(parsed.isErr() && parsed.error.executed, 'no');
      });
    });
  });

  describe('accepted requests', () => {
    it('uses the defaults of the service', (t) => {
      const { urgency, deadlineMs, teamId, keyId } = accepted(head({}));
      t.same(
        { urgency, deadlineMs, teamId, keyId },
        {
          urgency: 'urgent',
          deadlineMs: 10_000,
          teamId: 'bench',
          keyId: created.keyId,
        },
      );
    });

    it('limits the deadline to the maximum of the service', (t) => {
      const { deadlineMs } = accepted(head({}, { 'x-deadline-ms': '999999999' }));
      t.equal(deadlineMs, 60_000);
    });

    it('reads the idempotency key of non-idempotent requests only', (t) => {
      const headers = { 'idempotency-key': 'a', 'x-idempotency-time': '5' };
      t.same(accepted(head(claimUrl, headers)).idempotencyKey, {
        key: 'a',
        firstSentAtMs: 5,
      });
      t.equal(accepted(head({}, headers)).idempotencyKey, undefined);
    });
  });

  it('parses any head or refuses it with a listed type', (t) => {
    const names = ['authorization', 'x-urgency', 'x-deadline-ms', 'content-length', 'content-type'];
    const idempotencyHeaders = ['idempotency-key', 'x-idempotency-time'];
    const value = fc.oneof(
      fc.string({ unit: 'binary' }),
      fc.array(fc.string(), { maxLength: 3 }),
      fc.constantFrom('urgent', '1', `Bearer ${created.key}`, '1e400', '__proto__'),
    );
    const request = fc.record({
      method: fc.constantFrom('POST', 'GET', ''),
      url: fc.oneof(fc.webPath(), fc.string(), fc.constantFrom(head({}).url, claimUrl.url)),
      headers: fc.dictionary(fc.constantFrom(...names, ...idempotencyHeaders), value),
    });
    fc.assert(
      fc.property(request, (some) => {
        const parsed = parseHead(some, document);
        return parsed.isOk() || PROBLEM_TYPES.includes(parsed.error.type);
      }),
      { seed: SEED, numRuns: RUNS },
    );
    t.pass(`seed ${SEED}`);
  });
});
