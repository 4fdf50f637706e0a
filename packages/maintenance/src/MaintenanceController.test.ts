import { describe, it } from '@acaciadock/core/testing';
import { type InstanceState } from './InstanceState.js';
import { fleetDocument } from './testing/fleetDocument.js';
import { MaintenanceHarness } from './testing/MaintenanceHarness.js';

const SEED = 71;
const LAYOUT = {
  pools: [
    { poolId: 'a', instances: 4, minServingInstances: 2 },
    { poolId: 's', instances: 1 },
  ],
  racks: 4,
};
const ALL = ['a0', 'a1', 'a2', 'a3', 's0'];
const START = {
  action: 'start-roll-out',
  rollOutId: 'r1',
  instanceIds: ALL,
  racksAtOnce: 1,
} as const;

async function createHarness(layout = LAYOUT): Promise<MaintenanceHarness> {
  const harness = new MaintenanceHarness(fleetDocument(layout), 3, SEED);
  await harness.runUntil(() => harness.holder !== undefined);
  return harness;
}

function isDone(harness: MaintenanceHarness): boolean {
  return harness.state.rollOut?.status === 'done' && Object.keys(harness.state.jobs).length === 0;
}

function servingCount(harness: MaintenanceHarness): number {
  return Object.entries(harness.config.state().document.instances).filter(
    ([id, { poolId, intent }]) =>
      poolId === 'a' && intent === 'serving' && !harness.unhealthy.has(id),
  ).length;
}

describe(`MaintenanceController (seed ${SEED})`, () => {
  it('never has more than one holder of the role', async (t) => {
    const harness = new MaintenanceHarness(fleetDocument(LAYOUT), 5, SEED);
    let maxHolders = 0;
    await harness.runUntil(() => {
      const holders = harness.entries.filter(({ role }) => role.epoch !== undefined).length;
      maxHolders = Math.max(maxHolders, holders);
      return false;
    }, 10_000);
    t.equal(maxHolders, 1);
    harness.dispose();
  });

  it('reboots every instance exactly once and interrupts no run', async (t) => {
    const harness = await createHarness();
    ALL.forEach((id) => harness.runsEndMs.set(id, harness.clock.monotonicMs() + 9_000));
    t.equal(await harness.command(START), 'accepted');
    let minServing = 4;
    t.ok(
      await harness.runUntil(() => {
        minServing = Math.min(minServing, servingCount(harness));
        return isDone(harness);
      }),
    );
    t.same(harness.platform.reboots.map(({ instanceId }) => instanceId).sort(), ALL);
    t.ok(harness.platform.reboots.every(({ openRuns }) => openRuns === 0));
    t.ok(minServing >= 3, 'one more rack could fail at any time');
    harness.dispose();
  });

  const killStates: InstanceState[] = ['draining', 'drained', 'rebooting', 'probing'];
  killStates.forEach((killState) => {
    it(`a new controller finishes when the previous one is killed at ${killState}`, async (t) => {
      const harness = await createHarness();
      await harness.command(START);
      let kills = 0;
      const done = await harness.runUntil(() => {
        const isReached = Object.values(harness.state.jobs).some(
          ({ state }) => state === killState,
        );
        if (isReached && harness.holder && kills < 2) {
          harness.holder.killController();
          kills += 1;
        }
        return isDone(harness);
      });
      t.ok(done);
      t.equal(kills, 2);
      const rebooted = harness.platform.reboots.map(({ instanceId }) => instanceId);
      t.same(rebooted.sort(), ALL, 'each exactly once');
      harness.dispose();
    });
  });

  it('a new controller repeats a call whose answer the killed one did not get', async (t) => {
    const harness = await createHarness();
    harness.platform.onReboot = () => harness.holder?.killController();
    harness.platform.loseAnswers = 1;
    const first = harness.holder;
    await harness.command(START);
    await harness.runUntil(() => harness.platform.reboots.length > 0);
    harness.platform.onReboot = () => undefined;
    t.ok(await harness.runUntil(() => isDone(harness)));
    t.not(harness.holder, first);
    t.equal(harness.platform.reboots.length, ALL.length);
    harness.dispose();
  });

  const faults: readonly [string, (harness: MaintenanceHarness) => void][] = [
    [
      'answers from the platform are lost',
      ({ platform }) => Object.assign(platform, { loseAnswers: 8 }),
    ],
    ['answers from the log are lost', ({ log }) => Object.assign(log, { loseAnswers: 12 })],
    [
      'the log is down temporarily',
      ({ log, clock }) => {
        Object.assign(log, { down: true });
        clock.after(15_000, () => Object.assign(log, { down: false }));
      },
    ],
    [
      'the platform is down temporarily',
      ({ platform, clock }) => {
        Object.assign(platform, { down: true });
        clock.after(15_000, () => Object.assign(platform, { down: false }));
      },
    ],
    [
      'patches cannot be written temporarily',
      ({ config, clock }) => {
        Object.assign(config, { down: true });
        clock.after(15_000, () => Object.assign(config, { down: false }));
      },
    ],
  ];
  faults.forEach(([name, cause]) => {
    it(`every instance is rebooted once when ${name}`, async (t) => {
      const harness = await createHarness();
      await harness.command(START);
      await harness.runUntil(() => Object.keys(harness.state.jobs).length > 0);
      cause(harness);
      t.ok(await harness.runUntil(() => isDone(harness)));
      t.same(harness.platform.reboots.map(({ instanceId }) => instanceId).sort(), ALL);
      t.ok(harness.platform.reboots.every(({ openRuns }) => openRuns === 0));
      harness.dispose();
    });
  });

  it('starts no step while the log is down', async (t) => {
    const harness = await createHarness();
    await harness.command(START);
    await harness.runUntil(() => harness.platform.reboots.length > 0);
    harness.log.down = true;
    await harness.run(30_000);
    t.equal(harness.platform.reboots.length, 2, 'only the first wave');
    harness.dispose();
  });

  it('a paused holder loses its epoch when its lease expires', async (t) => {
    const harness = await createHarness();
    const paused = harness.holder;
    t.not(paused?.role.epoch, undefined);
    harness.clock.advance(5_000);
    t.equal(paused?.role.epoch, undefined, 'on the first access after the pause');
    harness.dispose();
  });

  it('stops when an instance fails and continues after readmit and resume', async (t) => {
    const harness = await createHarness();
    harness.platform.failing.add('a1');
    await harness.command(START);
    t.ok(await harness.runUntil(() => harness.state.rollOut?.status === 'stopped'));
    const rebooted = harness.platform.reboots.length;
    await harness.run(20_000);
    t.equal(harness.platform.reboots.length, rebooted, 'no further step');
    t.equal(await harness.command({ action: 'readmit', instanceId: 'a1' }), 'accepted');
    t.equal(await harness.command({ action: 'resume-roll-out', rollOutId: 'r1' }), 'accepted');
    t.ok(await harness.runUntil(() => isDone(harness)));
    harness.dispose();
  });

  it('cancels steps that are not yet rebooting when the roll-out is aborted', async (t) => {
    const harness = await createHarness();
    harness.runsEndMs.set('a0', harness.clock.monotonicMs() + 60_000);
    await harness.command(START);
    await harness.runUntil(() => Object.keys(harness.state.jobs).length > 0);
    t.equal(await harness.command({ action: 'abort-roll-out', rollOutId: 'r1' }), 'accepted');
    t.ok(await harness.runUntil(() => Object.keys(harness.state.jobs).length === 0, 10_000));
    t.notOk(harness.platform.reboots.some(({ instanceId }) => instanceId === 'a0'));
    t.equal(servingCount(harness), 4);
    harness.dispose();
  });

  it('cancels a step in progress when the pool falls below its budget', async (t) => {
    const harness = await createHarness();
    harness.runsEndMs.set('a0', harness.clock.monotonicMs() + 8_000);
    await harness.command(START);
    await harness.runUntil(() => Object.keys(harness.state.jobs).length > 0);
    harness.unhealthy.add('a1');
    harness.unhealthy.add('a2');
    t.ok(await harness.runUntil(() => servingCount(harness) === 2, 10_000), 'a0 serves again');
    t.equal(harness.platform.reboots.filter(({ instanceId }) => instanceId === 'a0').length, 0);
    harness.unhealthy.clear();
    t.ok(await harness.runUntil(() => isDone(harness)));
    harness.dispose();
  });

  it('closes a leaving instance within 1.5 s and reopens it if it stays', async (t) => {
    const harness = await createHarness();
    harness.leaving.add('a2');
    const isClosed = (): boolean =>
      harness.config.state().document.instances.a2?.intent === 'maintenance';
    t.ok(await harness.runUntil(isClosed, 1_500));
    t.equal(harness.platform.reboots.length, 0);
    harness.leaving.clear();
    t.ok(await harness.runUntil(() => servingCount(harness) === 4, 10_000));
    harness.dispose();
  });

  describe('moves', () => {
    const move = { action: 'move', instanceId: 's0', toPoolId: 'a' } as const;

    it('drain the instance, patch its pool and intent together, and reopen it', async (t) => {
      const harness = await createHarness();
      await harness.command(move);
      t.ok(
        await harness.runUntil(() => harness.config.state().document.instances.s0?.poolId === 'a'),
      );
      t.equal(harness.config.state().document.instances.s0?.intent, 'serving');
      harness.dispose();
    });

    const races: readonly [string, (harness: MaintenanceHarness) => void][] = [
      [
        'a concurrent operator patch at every version',
        ({ config, clock }) => {
          clock.every(400, () => {
            const { version } = config.state();
            const operations = [
              { op: 'replace' as const, path: '/deploymentName', value: `v${version}` },
            ];
            void config.write({ patchId: `race-${version}`, baseVersion: version, operations });
          });
        },
      ],
      ['a crash of the controller', (harness) => harness.holder?.killController()],
      [
        'a concurrent reboot of the same instance',
        (harness) => {
          void harness.entries[2]?.commands.submit('r', 'test', { ...START, instanceIds: ['s0'] });
        },
      ],
    ];
    races.forEach(([name, race]) => {
      it(`complete despite ${name}`, async (t) => {
        const harness = await createHarness();
        await harness.command(move);
        race(harness);
        const isMoved = (): boolean => harness.config.state().document.instances.s0?.poolId === 'a';
        t.ok(await harness.runUntil(isMoved));
        t.ok(await harness.runUntil(() => Object.keys(harness.state.jobs).length === 0));
        t.equal(harness.config.state().document.instances.s0?.intent, 'serving');
        harness.dispose();
      });
    });

    it('keep the intent of an operator who drains the instance during the move', async (t) => {
      const harness = await createHarness();
      harness.runsEndMs.set('a0', harness.clock.monotonicMs() + 3_000);
      await harness.command({ action: 'move', instanceId: 'a0', toPoolId: 's' });
      await harness.runUntil(() => Object.keys(harness.state.jobs).length > 0);
      await harness.run(1_000);
      const { version } = harness.config.state();
      const operations = [
        { op: 'replace' as const, path: '/instances/a0/intent', value: 'draining' },
      ];
      await harness.config.write({ patchId: 'operator', baseVersion: version, operations });
      t.ok(await harness.runUntil(() => Object.keys(harness.state.jobs).length === 0));
      t.equal(harness.config.state().document.instances.a0?.intent, 'draining');
      harness.dispose();
    });
  });

  it('lends a spare to a pool that cannot be maintained without it, and returns it', async (t) => {
    const harness = await createHarness({
      pools: [
        { poolId: 'a', instances: 4, minServingInstances: 3 },
        { poolId: 's', instances: 1 },
      ],
      racks: 5,
    });
    await harness.command(START);
    t.ok(await harness.runUntil(() => isDone(harness) && harness.state.rollOut?.lent.length === 0));
    t.equal(harness.state.rollOut?.moves, 2);
    t.equal(harness.config.state().document.instances.s0?.poolId, 's');
    t.same(harness.platform.reboots.map(({ instanceId }) => instanceId).sort(), ALL);
    harness.dispose();
  });
});
