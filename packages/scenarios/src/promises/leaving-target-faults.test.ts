import { describe, it } from '@acaciadock/core/testing';
import { type EntryFleet } from '../EntryFleet.js';
import { type LeavingCase, leaveByIntent, leaveByList, runLeavingCase } from '../LeavingTarget.js';

/** Kills the home of the pool. */
function killHome(fleet: EntryFleet): void {
  const ranked = fleet.entries[0]?.membership.rankedHomes('main') ?? [];
  fleet.kill(fleet.entries.findIndex(({ entryId }) => entryId === ranked[0]));
}

const cases: readonly LeavingCase[] = [
  {
    name: 'by intent, and the home of the pool is killed',
    leave: leaveByIntent,
    fault: killHome,
  },
  {
    name: 'by the list, which can be read for a second more',
    leave: leaveByList,
    fault: ({ clock, directory }) => {
      clock.after(1_000, () => Object.assign(directory, { down: true }));
    },
  },
  {
    name: 'by intent, with the log and the list down from then on',
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
      const figures = await runLeavingCase(leavingCase);
      t.ok(figures.startsBefore > 0, 'it had work before');
      t.equal(figures.startsTooLate, 0);
      t.ok(
        figures.startsOnOthers.every((starts) => starts > 0),
        `the others went on: ${figures.startsOnOthers.join(', ')}`,
      );
    });
  });
});
