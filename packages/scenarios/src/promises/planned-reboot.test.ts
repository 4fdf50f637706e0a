/** Promise: a planned stop is graceful and interrupts no request in progress. */
import { SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { MaintenanceFleet } from '../fleet/MaintenanceFleet.js';

const SEED = 32;
const TIMEOUT_MS = 60_000;
const RUN_MS = 800;
const MEAN_GAP_MS = 60;
const INSTANCES = ['t00', 't09', 't18'];
const OPTIONS = { deployment: 'nha-an', entries: 3, rebootMs: 200, seed: SEED } as const;

describe(`a planned reboot (seed ${SEED})`, () => {
  // Each case has a name and a function that injects its faults.
  const faults: readonly [string, (fleet: MaintenanceFleet) => void][] = [
    ['nothing fails', () => undefined],
    [
      'responses of the platform and the log are lost and the controller stops',
      (fleet) => {
        Object.assign(fleet.control.faults, { loseAnswers: 4 });
        Object.assign(fleet.log.faults, { loseAppendAnswers: 4 });
        fleet.controllerEntry?.maintenance.controller.dispose();
      },
    ],
  ];
  faults.forEach(([name, cause]) => {
    it(`interrupts no request in progress when ${name}`, async (t) => {
      const fleet = new MaintenanceFleet(OPTIONS, new SystemClock());
      await fleet.start();
      await fleet.waitUntil(() => fleet.controllerEntry !== undefined, TIMEOUT_MS);
      const load = fleet.createLoad(MEAN_GAP_MS, RUN_MS);
      load.start();
      const command = { action: 'start-roll-out', rollOutId: 'r', racksAtOnce: 1 } as const;
      await fleet.command({ ...command, instanceIds: INSTANCES });
      await fleet.waitUntil(() => Object.keys(fleet.state.jobs).length > 0, TIMEOUT_MS);
      cause(fleet);
      t.ok(await fleet.waitUntil(() => fleet.state.rollOut?.status === 'done', TIMEOUT_MS));
      await load.stop();
      fleet.observer.finish();
      t.same(
        [...fleet.observer.rebooted].sort(),
        [...INSTANCES].sort(),
        'each instance was rebooted once',
      );
      t.equal(fleet.observer.cutRuns, 0);
      t.equal(load.cut, 0);
      t.equal(fleet.observer.lateRuns, 0);
      t.ok(load.answered > 0);
      await fleet.stop();
    });
  });
});
