import { describe, it } from '@acaciadock/core/testing';
import { type EntryFleet } from '../EntryFleet.js';
import { type LeavingCase, leaveByIntent, leaveByList, runLeavingCase } from '../LeavingTarget.js';

/** Kills the entry that is the home of the pool, so that another takes over dispatching. */
function killHome(fleet: EntryFleet): void {
  const ranked = fleet.entries[0]?.membership.rankedHomes('main') ?? [];
  fleet.kill(fleet.entries.findIndex(({ entryId }) => entryId === ranked[0]));
}

const cases: readonly LeavingCase[] = [
  {
    name: 'by intent, when the home of the pool is killed',
    leave: leaveByIntent,
    fault: killHome,
  },
  {
    name: 'by the directory, which becomes unavailable a second later',
    leave: leaveByList,
    fault: ({ clock, directory }) => {
      clock.after(1_000, () => Object.assign(directory, { down: true }));
    },
  },
  {
    name: 'by intent, with the log and the directory down from then on',
    leave: leaveByIntent,
    fault: ({ directory, log }) => {
      Object.assign(directory, { down: true });
      Object.assign(log.faults, { down: true });
    },
  },
];

describe('A target that is leaving gets no new work after three seconds', () => {
  cases.forEach((leavingCase) => {
    it(leavingCase.name, async (t) => {
      const counts = await runLeavingCase(leavingCase);
      t.ok(counts.startsBefore > 0, 'the target ran work before it left');
      t.equal(counts.startsTooLate, 0);
      t.ok(
        counts.startsOnOthers.every((starts) => starts > 0),
        `expected starts on every other target, got ${counts.startsOnOthers.join(', ')}`,
      );
    });
  });
});
