/** Tests when a call that no relay has passed on is sent directly. */
import { ManualClock, SilentLogger } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { RecordingPort } from '../testing/RecordingPort.js';
import { RelayedTargetPort } from './RelayedTargetPort.js';
import { RelayLink } from './RelayLink.js';
import { RelaySelection } from './RelaySelection.js';

class OpenLink extends RelayLink {
  open(): void {
    this.receive({ time: { monotonicMs: 1, unixMs: 1 }, replies: [] });
  }

  end(): void {
    this.fail('ended');
  }

  protected override transmit(): void {
    // Nobody replies.
  }
}

const TARGET = { targetId: 't', address: 'h:1' };
const RUN = { taskId: 'a.0.0.0', run: 1, fencingToken: 7 };
const ORDER = { ...RUN, spec: 's', leaseUntilMs: 5_000, checkpoint: '', ticket: '' };
const SELF = { entryId: 'e0', bootMs: 1, peerAddress: 'e0:1', cpuMilli: 1_000 };

function createPort() {
  const clock = new ManualClock();
  const link = new OpenLink(clock);
  const direct = new RecordingPort();
  const relays = new RelaySelection({
    self: SELF,
    members: () => [{ ...SELF, entryId: 'e1' }],
    busyMs: () => clock.monotonicMs(),
    createLink: () => link,
    wasPreviousBusy: true,
    clock,
    logger: new SilentLogger(),
  });
  link.open();
  return { direct, link, relays, port: new RelayedTargetPort(direct, relays) };
}

describe('RelayedTargetPort', () => {
  it('sends a start directly whose relay fails before it is sent', async (t) => {
    const { direct, link, port } = createPort();
    const done = port.start(TARGET, ORDER);
    link.end();
    t.ok((await done).isOk());
    t.equal(direct.starts.length, 1);
  });

  it('sends no start that the end of the ownership has caught in a batch', async (t) => {
    // Fails if an owner orders starts after its release.
    const { direct, relays, port } = createPort();
    const done = port.start(TARGET, ORDER);
    relays.dispose();
    t.equal((await done)._unsafeUnwrapErr().kind, 'unknown-outcome');
    t.same(direct.starts, []);
  });
});
