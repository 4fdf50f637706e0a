/** Tests which calls a relay passes on, and what it tells the owner of the others. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type StartOrder } from '@acaciadock/execution';
import { RecordingPort } from '../testing/RecordingPort.js';
import { type ReplyBatch } from './RelayMessages.js';
import { RelaySession } from './RelaySession.js';

const TARGET = { targetId: 't', address: 'h:1' };
const ORDER: StartOrder = {
  taskId: 'a.0.0.0',
  run: 1,
  spec: 's',
  leaseUntilMs: 5_000,
  fencingToken: 7,
  checkpoint: '',
  ticket: '',
};
const START = { kind: 'start', target: TARGET, request: ORDER };

function createSession() {
  const clock = new ManualClock();
  const port = new RecordingPort();
  const sent: ReplyBatch[] = [];
  const session = new RelaySession(port, clock, (batch) => sent.push(batch));
  const timeOf = () => ({ monotonicMs: clock.monotonicMs(), unixMs: clock.unixMs() });
  const repliesAfter = async (ms: number) => {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    clock.advance(ms);
    return sent.flatMap(({ replies }) => replies);
  };
  return { clock, port, sent, session, timeOf, repliesAfter };
}

describe('RelaySession', () => {
  it('sends its time first and whenever it has been quiet', (t) => {
    // The owner can't send anything before, and its batches would expire without later times.
    const { clock, sent } = createSession();
    t.equal(sent.length, 1);
    clock.advance(200);
    t.ok(sent.length >= 3, `${sent.length} messages`);
  });

  it('passes calls on and replies to each', async (t) => {
    const { port, session, timeOf, repliesAfter } = createSession();
    const hold = { fencingToken: 7, lastSeenEnd: 0, waitMs: 0 };
    session.handle({
      echo: timeOf(),
      calls: [
        { callId: 1, call: START },
        { callId: 2, call: { kind: 'hold', target: TARGET, request: hold } },
      ],
      forgotten: [],
    });
    t.match(await repliesAfter(10), [
      { callId: 1, reply: { kind: 'receipt', receipt: { clockMs: 3 } } },
      { callId: 2, reply: { kind: 'failed', failure: { kind: 'unreachable' } } },
    ]);
    t.same(port.starts, [ORDER]);
  });

  it('does not pass on a batch that was long under way', async (t) => {
    // Fails if an entry that read its messages late starts what has been started elsewhere.
    const { clock, port, session, timeOf, repliesAfter } = createSession();
    const echo = timeOf();
    clock.advance(300);
    session.handle({ echo, calls: [{ callId: 1, call: START }], forgotten: [] });
    t.match(await repliesAfter(10), [{ callId: 1, reply: { kind: 'expired' } }]);
    t.same(port.starts, []);
  });

  it('does not pass on a batch that waited while the process was suspended', async (t) => {
    // Monotonic time stands still meanwhile.
    const { port, session, timeOf, repliesAfter } = createSession();
    const { monotonicMs, unixMs } = timeOf();
    const echo = { monotonicMs, unixMs: unixMs - 3_000 };
    session.handle({ echo, calls: [{ callId: 1, call: START }], forgotten: [] });
    t.match(await repliesAfter(10), [{ callId: 1, reply: { kind: 'expired' } }]);
    t.same(port.starts, []);
  });

  it('answers a call that can not be sent at all', async (t) => {
    // Fails if a malformed address ends the process of the relay.
    const { port, session, timeOf, repliesAfter } = createSession();
    port.start = () => Promise.reject(new Error('Invalid URL'));
    session.handle({ echo: timeOf(), calls: [{ callId: 1, call: START }], forgotten: [] });
    t.match(await repliesAfter(10), [{ reply: { failure: { kind: 'unknown-outcome' } } }]);
  });

  it('answers a malformed call without harm to the others', async (t) => {
    const { port, session, timeOf, repliesAfter } = createSession();
    const calls = [
      { callId: 1, call: { kind: 'start', target: TARGET, request: { taskId: 5 } } },
      { callId: 2, call: START },
    ];
    session.handle({ echo: timeOf(), calls, forgotten: [] });
    const replies = await repliesAfter(10);
    t.match(replies.find(({ callId }) => callId === 1)?.reply, { failure: { kind: 'invalid' } });
    t.equal(port.starts.length, 1);
  });
});
