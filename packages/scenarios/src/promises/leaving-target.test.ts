import { describe, it } from '@acaciadock/core/testing';
import { type LeavingCase, leaveByIntent, leaveByList, runLeavingCase } from '../LeavingTarget.js';

const cases: readonly LeavingCase[] = [
  { name: 'by the intent of an operator', leave: leaveByIntent },
  { name: 'by the list of the platform', leave: leaveByList },
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
