/** Guards against waiting tasks that no target ever takes. */
import { describe, it } from '@acaciadock/core/testing';
import { RunFixture, TARGET_CPU_MILLI } from './testing/RunFixture.js';

describe('FleetTarget', () => {
  describe('a slow target', () => {
    it('withholds CPU beside tasks that will end', (t) => {
      const fixture = new RunFixture(1);
      const target = fixture.target('t0');
      target.weight = 0.25;
      fixture.start(fixture.accept('a'), 't0');
      t.equal(target.withheldCpuMilli, 0.75 * TARGET_CPU_MILLI);
    });

    it('takes a task while it runs none or only long-running ones, as it may be the only one', (t) => {
      const fixture = new RunFixture(1);
      const target = fixture.target('t0');
      target.weight = 0.25;
      t.equal(target.withheldCpuMilli, 0);
      fixture.start(fixture.accept('a', { longRunning: true }), 't0');
      t.equal(target.withheldCpuMilli, 0);
    });
  });
});
