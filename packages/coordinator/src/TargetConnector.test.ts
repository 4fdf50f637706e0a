/** Tests what targets are asked before the process owns the journal. */
import { describe, it } from '@acaciadock/core/testing';
import { type HoldRequest, type TargetPort } from '@acaciadock/execution';
import { err, ok } from 'neverthrow';
import { RunFixture } from './testing/RunFixture.js';
import { TargetConnector } from './TargetConnector.js';

/** The requests to three targets; the signal is aborted at the request with the given number. */
async function requestsOf(abortedAt = Infinity): Promise<HoldRequest[]> {
  const entries = new RunFixture(3).all.flatMap(({ entry }) => (entry ? [entry] : []));
  const abort = new AbortController();
  const requests: HoldRequest[] = [];
  const port: Pick<TargetPort, 'hold'> = {
    hold: (_target, request) => {
      requests.push(request);
      if (requests.length === abortedAt) abort.abort();
      return Promise.resolve(err({ kind: 'unreachable', detail: '' }));
    },
  };
  const registry = { list: () => Promise.resolve(ok(entries)) };
  await new TargetConnector(registry, port).connect(7, abort.signal);
  return requests;
}

describe('TargetConnector', () => {
  it('extends no lease and acknowledges no end', async (t) => {
    // Fails if a process that isn't the owner changes anything on a target.
    const request = { fencingToken: 7, lastSeenEnd: 0, leaseUntilMs: undefined, waitMs: 0 };
    t.same(
      await requestsOf(),
      Array.from({ length: 6 }, () => request),
    );
  });

  it('asks no further target once the journal is claimed', async (t) => {
    t.equal((await requestsOf(1)).length, 2);
  });
});
