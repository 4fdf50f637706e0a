/** Promise: the availability budget of each service holds during moves ordered by operators. */
import { SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { MaintenanceFleet } from '../fleet/MaintenanceFleet.js';

const SEED = 34;
const TIMEOUT_MS = 60_000;
const OPTIONS = { deployment: 'bondwright', entries: 3, rebootMs: 200, seed: SEED } as const;

async function startFleet(): Promise<MaintenanceFleet> {
  const fleet = new MaintenanceFleet(OPTIONS, new SystemClock());
  await fleet.start();
  await fleet.waitUntil(() => fleet.controllerEntry !== undefined, TIMEOUT_MS);
  return fleet;
}

describe(`the availability budget (seed ${SEED})`, () => {
  it('holds when operators order more moves out of a pool than it can spare', async (t) => {
    const fleet = await startFleet();
    const { instances } = fleet.deployment.document;
    const pool = Object.keys(instances).filter(
      (id) => instances[id]?.poolId === 'pool-adhesive-advice',
    );
    for (const instanceId of pool) {
      await fleet.command({ action: 'move', instanceId, toPoolId: 'spare' });
    }
    await fleet.waitUntil(() => fleet.state.wantedMoves.length < pool.length, TIMEOUT_MS);
    const isSettled = (): boolean => Object.keys(fleet.state.jobs).length === 0;
    t.ok(await fleet.waitUntil(isSettled, TIMEOUT_MS));
    t.equal(fleet.observer.budgetBreaches, 0);
    t.ok(fleet.state.wantedMoves.length > 0, 'the remaining moves are still waiting');
    await fleet.stop();
  });
});
