/**
 * Guards against starts in an evacuated zone, and against starts being refused for the age of the
 * operator's records where no bound on evacuations applies.
 */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { ZoneEvacuation } from './ZoneEvacuation.js';

const NEVER = { asOfMs: -Infinity, asOfUnixMs: -Infinity };

interface Fixture {
  readonly clock: ManualClock;
  readonly evacuation: ZoneEvacuation;
}

/** Zone `z0` is under evacuation. The requests are as old as the clock has advanced. */
function createFixture(evacuateMs: number | undefined, isLoaded = true): Fixture {
  const clock = new ManualClock();
  const asOf = isLoaded ? { asOfMs: clock.monotonicMs(), asOfUnixMs: clock.unixMs() } : NEVER;
  const requests = { zones: new Map([['z0', 0]]), ...asOf };
  return { clock, evacuation: new ZoneEvacuation(() => requests, clock, evacuateMs) };
}

describe('ZoneEvacuation', () => {
  [5_000, 8_000].forEach((evacuateMs) => {
    it(`permits starts for requests up to 1 s younger than a bound of ${evacuateMs} ms`, (t) => {
      const { clock, evacuation } = createFixture(evacuateMs);
      clock.advance(evacuateMs - 1_000);
      t.ok(evacuation.mayStartIn('z1'));
      clock.advance(1);
      t.notOk(evacuation.mayStartIn('z1'));
    });
  });

  it('ignores the age of the requests without a bound', (t) => {
    const { clock, evacuation } = createFixture(undefined);
    clock.advance(3_600_000);
    t.ok(evacuation.mayStartIn('z1'));
  });

  it('keeps work out of an evacuated zone with and without a bound', (t) => {
    [undefined, 5_000].forEach((evacuateMs) => {
      const { evacuation } = createFixture(evacuateMs);
      t.notOk(evacuation.mayStartIn('z0'));
      t.ok(evacuation.mayStartIn('z1'));
    });
  });

  it('permits no start before the requests have been read', (t) => {
    [undefined, 5_000].forEach((evacuateMs) => {
      t.notOk(createFixture(evacuateMs, false).evacuation.mayStartIn('z1'));
    });
  });
});
