import { ManualClock } from './ManualClock.js';
import { describe, it } from './testing/describe.js';

describe('ManualClock', () => {
  it('runs timers in order of due time', (t) => {
    const clock = new ManualClock();
    const seen: string[] = [];
    clock.after(20, () => seen.push(`late ${clock.monotonicMs()}`));
    clock.every(8, () => seen.push(`tick ${clock.monotonicMs()}`));
    clock.advance(20);
    t.same(seen, ['tick 8', 'tick 16', 'late 20']);
  });

  it('does not run a disposed timer', (t) => {
    const clock = new ManualClock();
    let ran = false;
    clock
      .after(5, () => {
        ran = true;
      })
      .dispose();
    clock.advance(10);
    t.equal(ran, false);
  });
});
