/** Promise: the availability budget of each service holds during drains, reboots and moves. */
import { SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { MaintenanceFleet } from '../fleet/MaintenanceFleet.js';

const SEED = 31;
const TIMEOUT_MS = 60_000;
const RACK_OUTAGE_MS = 2_000;
const OPTIONS = { deployment: 'bondwright', entries: 3, rebootMs: 200, seed: SEED } as const;

async function startFleet(): Promise<MaintenanceFleet> {
  const fleet = new MaintenanceFleet(OPTIONS, new SystemClock());
  await fleet.start();
  await fleet.waitUntil(() => fleet.controllerEntry !== undefined, TIMEOUT_MS);
  return fleet;
}

function isIdle(fleet: MaintenanceFleet): boolean {
  const { rollOut, jobs, wantedMoves } = fleet.state;
  if (rollOut && (rollOut.status !== 'done' || rollOut.lent.length > 0)) return false;
  return Object.keys(jobs).length === 0 && wantedMoves.length === 0;
}

describe(`the availability budget (seed ${SEED})`, () => {
  it('holds when the controller is stopped and a rack is lost in the same wave', async (t) => {
    const fleet = await startFleet();
    const instanceIds = ['t00', 't09', 't01', 't10'];
    const command = { action: 'start-roll-out', rollOutId: 'r', racksAtOnce: 1 } as const;
    await fleet.command({ ...command, instanceIds });
    const isRebooting = (): boolean =>
      Object.values(fleet.state.jobs).some(({ state }) => state === 'rebooting');
    t.ok(await fleet.waitUntil(isRebooting, TIMEOUT_MS));
    fleet.controllerEntry?.maintenance.controller.dispose();
    fleet.setRackLost('zone-c-r0', true);
    await new SystemClock().sleep(RACK_OUTAGE_MS);
    fleet.setRackLost('zone-c-r0', false);
    t.ok(await fleet.waitUntil(() => isIdle(fleet), TIMEOUT_MS));
    t.same([...new Set(fleet.observer.rebooted)].sort(), [...instanceIds].sort());
    t.equal(fleet.observer.budgetBreaches, 0);
    await fleet.stop();
  });
});
