import { Writable } from 'node:stream';
import { describe, it } from '@acaciadock/core/testing';
import { BunyanLogger } from './BunyanLogger.js';

function capture(): { lines: string[]; stream: Writable } {
  const lines: string[] = [];
  const stream = new Writable({
    write: (chunk, _, done) => {
      lines.push(String(chunk));
      done();
    },
  });
  return { lines, stream };
}

describe('BunyanLogger', () => {
  it('writes one JSON line with the event and its fields', (t) => {
    const { lines, stream } = capture();
    const logger = new BunyanLogger({ entryId: 'e1', level: 'info', stream });
    logger.info('request-ended', { requestId: 'r1', teamId: 'team-1' });
    const line = JSON.parse(lines[0] ?? '') as Record<string, unknown>;
    t.match(line, { msg: 'request-ended', entryId: 'e1', requestId: 'r1', teamId: 'team-1' });
  });

  it('omits events below its level', (t) => {
    const { lines, stream } = capture();
    new BunyanLogger({ entryId: 'e1', level: 'warn', stream }).info('quiet');
    t.same(lines, []);
  });

  describe('secrets', () => {
    const secrets = [
      { authorization: 'Bearer s3cret' },
      { headers: { Authorization: 's3cret' } },
      { key: 's3cret' },
      { nested: [{ teamKey: 's3cret' }] },
      { body: 's3cret' },
      { raw: Buffer.from('s3cret') },
      { failure: { payload: { text: 's3cret' } } },
    ];
    secrets.forEach((fields) => {
      it(`redacts ${Object.keys(fields).join()}`, (t) => {
        const { lines, stream } = capture();
        new BunyanLogger({ entryId: 'e1', level: 'info', stream }).error('failed', fields);
        t.equal(lines.length, 1);
        t.notMatch(lines[0], /s3cret/);
      });
    });
  });
});
