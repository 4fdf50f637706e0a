/** Tests how runs end on the port of a warm-up. */
import { describe, it } from '@acaciadock/core/testing';
import { type HoldReport } from '@acaciadock/execution';
import { LoopbackPort } from './LoopbackPort.js';
import { RunFixture } from './testing/RunFixture.js';

async function hold(
  fixture: RunFixture,
  port: LoopbackPort,
  lastSeenEnd: number,
): Promise<HoldReport> {
  const request = { fencingToken: 1, lastSeenEnd, leaseUntilMs: undefined, waitMs: 0 };
  const held = port.hold({ targetId: 't0', address: 't0:1' }, request);
  fixture.clock.advance(20);
  return (await held)._unsafeUnwrap();
}

describe('LoopbackPort', () => {
  it('lists a run, and its end until that is acknowledged', async (t) => {
    const fixture = new RunFixture(1);
    const port = new LoopbackPort(fixture.clock, (targetId) => fixture.targets.get(targetId));
    const live = fixture.start(fixture.accept('a'), 't0');
    t.match(await hold(fixture, port, 0), { running: [{ taskId: live.taskId }], ended: [] });
    fixture.work(200);
    const end = { taskId: live.taskId, run: live.run, end: 'done', sequence: 1 };
    t.match(await hold(fixture, port, 0), { running: [], ended: [end] });
    t.match(await hold(fixture, port, 0), { ended: [end] });
    void fixture.runTracker.finish(live, 'done', '');
    t.same((await hold(fixture, port, 1)).ended, []);
  });
});
