import { describe, it } from '@acaciadock/core/testing';
import { type LeavingCase, leaveByIntent, leaveByList, runLeavingCase } from '../LeavingTarget.js';

const cases: readonly LeavingCase[] = [
  { name: 'by an intent that an operator sets', leave: leaveByIntent },
  { name: 'by the directory of the platform', leave: leaveByList },
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
