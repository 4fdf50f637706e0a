/** Promise: every entry sees an instance in exactly one pool at any time. */
import { SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { MaintenanceFleet } from '../fleet/MaintenanceFleet.js';

const SEED = 33;
const TIMEOUT_MS = 60_000;
const RACE_PERIOD_MS = 150;
const MOVED_INSTANCE_ID = 't00';
const DESTINATION_POOL_ID = 'pool-joint-check';
const OPTIONS = { deployment: 'bondwright', entries: 3, rebootMs: 200, seed: SEED } as const;

describe(`a move (seed ${SEED})`, () => {
  const races: readonly [string, (fleet: MaintenanceFleet, clock: SystemClock) => () => void][] = [
    [
      'patches of operators',
      (fleet, clock) => {
        let count = 0;
        const timer = clock.every(RACE_PERIOD_MS, () => {
          count += 1;
          fleet.patch([{ op: 'replace', path: '/deploymentName', value: `raced-${count}` }]);
        });
        return () => timer.dispose();
      },
    ],
    [
      'a reboot of the same instance and a failure of the controller',
      (fleet) => {
        const command = { action: 'start-roll-out', rollOutId: 'r', racksAtOnce: 1 } as const;
        void fleet.command({ ...command, instanceIds: [MOVED_INSTANCE_ID] });
        fleet.controllerEntry?.maintenance.controller.dispose();
        return () => undefined;
      },
    ],
  ];
  races.forEach(([name, startRace]) => {
    it(`keeps the instance in one pool and idle while it changes pools, concurrent with ${name}`, async (t) => {
      const clock = new SystemClock();
      const fleet = new MaintenanceFleet(OPTIONS, clock);
      await fleet.start();
      await fleet.waitUntil(() => fleet.controllerEntry !== undefined, TIMEOUT_MS);
      const poolAtVersion = new Map<number, string>();
      let disagreements = 0;
      let movesWhileBusy = 0;
      fleet.entries.forEach(({ follower }) => {
        let previousPoolId = follower.state().document.instances[MOVED_INSTANCE_ID]?.poolId;
        follower.onChange(({ version, document }) => {
          const poolId = document.instances[MOVED_INSTANCE_ID]?.poolId ?? 'none';
          // Checked only at the first entry that applies a version: a slower one may see work that a
          // faster one has already started in the new pool.
          const isFirst = !poolAtVersion.has(version);
          if ((poolAtVersion.get(version) ?? poolId) !== poolId) disagreements += 1;
          poolAtVersion.set(version, poolId);
          const running = fleet.targets.get(MOVED_INSTANCE_ID)?.running ?? 0;
          if (isFirst && poolId !== previousPoolId && running > 0) movesWhileBusy += 1;
          previousPoolId = poolId;
        });
      });
      const load = fleet.createLoad(40, 60);
      load.start();
      await fleet.command({
        action: 'move',
        instanceId: MOVED_INSTANCE_ID,
        toPoolId: DESTINATION_POOL_ID,
      });
      const stopRace = startRace(fleet, clock);
      const isMoved = (): boolean =>
        [...poolAtVersion.values()].includes(DESTINATION_POOL_ID) &&
        Object.keys(fleet.state.jobs).length === 0;
      t.ok(await fleet.waitUntil(isMoved, TIMEOUT_MS));
      stopRace();
      await load.stop();
      t.equal(disagreements, 0);
      t.equal(load.cut, 0);
      t.equal(movesWhileBusy, 0, 'nothing runs on the instance when its pool changes');
      t.same(
        [...new Set(poolAtVersion.values())],
        ['pool-adhesive-advice', DESTINATION_POOL_ID],
        'the pool changes once',
      );
      await fleet.stop();
    });
  });
});
