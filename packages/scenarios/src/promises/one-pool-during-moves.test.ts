/** Promise: an instance belongs to exactly one pool at any time, at every reader. */
import { SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { MaintenanceFleet } from '../fleet/MaintenanceFleet.js';

const SEED = 33;
const TIMEOUT_MS = 60_000;
const RACE_PERIOD_MS = 150;
const MOVED = 't00';
const TO_POOL = 'pool-joint-check';
const OPTIONS = { deployment: 'bondwright', entries: 3, rebootMs: 200, seed: SEED } as const;

describe(`a move (seed ${SEED})`, () => {
  const races: readonly [string, (fleet: MaintenanceFleet, clock: SystemClock) => () => void][] = [
    [
      "operators' patches",
      (fleet, clock) => {
        let count = 0;
        const racing = clock.every(RACE_PERIOD_MS, () => {
          count += 1;
          fleet.patch([{ op: 'replace', path: '/deploymentName', value: `raced-${count}` }]);
        });
        return () => racing.dispose();
      },
    ],
    [
      'a reboot of the same instance and a crash of the controller',
      (fleet) => {
        const command = { action: 'start-roll-out', rollOutId: 'r', racksAtOnce: 1 } as const;
        void fleet.command({ ...command, instanceIds: [MOVED] });
        fleet.holder?.maintenance.controller.dispose();
        return () => undefined;
      },
    ],
  ];
  races.forEach(([name, race]) => {
    it(`leaves the instance in one pool, idle while it changes, raced by ${name}`, async (t) => {
      const clock = new SystemClock();
      const fleet = new MaintenanceFleet(OPTIONS, clock);
      await fleet.start();
      await fleet.until(() => fleet.holder !== undefined, TIMEOUT_MS);
      const poolAtVersion = new Map<number, string>();
      let disagreements = 0;
      let movedBusy = 0;
      fleet.entries.forEach(({ follower }) => {
        let before = follower.state().document.instances[MOVED]?.poolId;
        follower.onChange(({ version, document }) => {
          const poolId = document.instances[MOVED]?.poolId ?? 'none';
          // A slower reader may see work that a faster one granted in the new pool already.
          const isFirst = !poolAtVersion.has(version);
          if ((poolAtVersion.get(version) ?? poolId) !== poolId) disagreements += 1;
          poolAtVersion.set(version, poolId);
          const running = fleet.targets.get(MOVED)?.running ?? 0;
          if (isFirst && poolId !== before && running > 0) movedBusy += 1;
          before = poolId;
        });
      });
      const load = fleet.load(40, 60);
      load.start();
      await fleet.command({ action: 'move', instanceId: MOVED, toPoolId: TO_POOL });
      const endRace = race(fleet, clock);
      const isMoved = (): boolean =>
        [...poolAtVersion.values()].includes(TO_POOL) && Object.keys(fleet.state.jobs).length === 0;
      t.ok(await fleet.until(isMoved, TIMEOUT_MS));
      endRace();
      await load.stop();
      t.equal(disagreements, 0);
      t.equal(load.cut, 0);
      t.equal(movedBusy, 0, 'nothing runs on it when its pool changes');
      t.same([...new Set(poolAtVersion.values())], ['pool-adhesive-advice', TO_POOL], 'one change');
      await fleet.stop();
    });
  });
});
