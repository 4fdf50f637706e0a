/** Tests which replies of a relay an owner accepts. */
import { describe, it } from '@acaciadock/core/testing';
import { parseReplyBatch } from './RelayMessages.js';

const TIME = { monotonicMs: 1, unixMs: 1 };

describe('parseReplyBatch', () => {
  it('leaves a failure of an unknown kind out', (t) => {
    // Fails if what another version means by it counts as a call that was not carried out.
    const replyOf = (kind: string) => ({ kind: 'failed', failure: { kind, detail: '' } });
    const replies = ['no-room', 'of-a-later-version'].map((kind, callId) => ({
      callId,
      reply: replyOf(kind),
    }));
    t.same(parseReplyBatch({ time: TIME, replies }).replies, [replies[0]]);
  });
});
