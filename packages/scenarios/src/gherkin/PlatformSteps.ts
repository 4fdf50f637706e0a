/** Steps that start the fleet and inject faults into the log. */
import { type FleetWorld } from './FleetWorld.js';
import { type Step, StepLibrary } from './StepLibrary.js';

export class PlatformSteps extends StepLibrary<FleetWorld> {
  override readonly steps: readonly Step<FleetWorld>[] = [
    {
      pattern: /(\d+) entries, (\d+) targets and a team "(.+)" with limit (\d+)/,
      run: (world, entries = '', targets = '', teamId = '', limit = '') =>
        world.start({
          entries: Number(entries),
          targets: Number(targets),
          teamId,
          limit: Number(limit),
        }),
    },
    {
      pattern: /the log goes down/,
      run: async (world) => {
        world.logs.forEach((log) => Object.assign(log.faults, { down: true }));
        await world.waitUntil('every entry to detect that the log is down', () =>
          world.entries.every((entry) => !entry.follower.logReachable),
        );
      },
    },
    {
      pattern: /the log comes back/,
      run: (world) => {
        world.logs.forEach((log) => Object.assign(log.faults, { down: false }));
      },
    },
    {
      pattern: /entry (\d+) is cut from the log/,
      run: async (world, entry = '') => {
        const index = Number(entry) - 1;
        Object.assign(world.logs[index]?.faults ?? {}, { down: true });
        await world.waitUntil(
          'the entry to detect that it cannot reach the log',
          () => world.entries[index]?.follower.logReachable === false,
        );
      },
    },
    {
      pattern: /the log loses the answer to the next append/,
      run: (world) => {
        world.logs.forEach((log) => Object.assign(log.faults, { loseAppendAnswers: 1 }));
      },
    },
  ];
}
