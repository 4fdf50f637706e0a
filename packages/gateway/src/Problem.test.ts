import { readFile } from 'node:fs/promises';
import { describe, it } from '@acaciadock/core/testing';
import { PROBLEM_KINDS, PROBLEM_TYPES, problemBody } from './Problem.js';

const PAGE = new URL('../../../docs/operators/errors.md', import.meta.url);
const page = await readFile(PAGE, 'utf8');
const ROW = /^\| `([a-z-]+)` \| (\d{3}) \| ([a-z, ]+) \|/;

describe('Problem', () => {
  describe('docs/operators/errors.md', () => {
    const rows = page
      .split('\n')
      .map((line) => ROW.exec(line.replace(/\s+\|/g, ' |').replace(/\|\s+/g, '| ')))
      .filter((row) => row !== null);

    it('lists every problem type exactly once', (t) => {
      t.same(rows.map((row) => row[1]).sort(), [...PROBLEM_TYPES].sort());
    });

    it('gives the status and the possible values of executed of each type', (t) => {
      rows.forEach(([, type = '', status, ran = '']) => {
        const kind = Object.entries(PROBLEM_KINDS).find(([name]) => name === type)?.[1];
        t.equal(String(kind?.statusCode), status, type);
        t.ok(
          ran.split(', ').every((value) => ['no', 'yes', 'unknown'].includes(value)),
          type,
        );
      });
    });
  });

  it('is written in the format of RFC 9457 with a URN as type', (t) => {
    const problem = { type: 'queue-full', executed: 'no', detail: 'd' } as const;
    t.same(problemBody(problem, 'r'), {
      type: 'urn:acaciadock:problem:queue-full',
      title: PROBLEM_KINDS['queue-full'].title,
      status: 503,
      detail: 'd',
      executed: 'no',
      requestId: 'r',
    });
  });
});
