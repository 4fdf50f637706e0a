/** Steps that send callers' requests and check the answers. */
import assert from 'node:assert/strict';
import { type FleetWorld } from './FleetWorld.js';
import { type Step, StepLibrary } from './StepLibrary.js';

const MS_PER_SECOND = 1_000;

export class RequestSteps extends StepLibrary<FleetWorld> {
  override readonly steps: readonly Step<FleetWorld>[] = [
    {
      pattern: /(\d+) requests are sent through each entry/,
      run: async (world, count = '') => {
        world.recordCallerAnswers(
          await Promise.all(
            world.entries.flatMap((_, entry) =>
              Array.from({ length: Number(count) }, (__, request) =>
                world.call(entry, { joint: `${entry}-${request}` }),
              ),
            ),
          ),
        );
      },
    },
    {
      pattern: /every request is answered with (\d+)/,
      run: (world, statusCode = '') => {
        const codes = new Set(world.callerAnswers.map((answer) => answer.statusCode));
        assert.deepEqual(codes, new Set([Number(statusCode)]));
      },
    },
    {
      pattern: /every answer belongs to its own request/,
      run: (world) => {
        const perEntry = world.callerAnswers.length / world.entries.length;
        const matching = world.callerAnswers.filter(({ text }, index) => {
          const joint = `${Math.floor(index / perEntry)}-${index % perEntry}`;
          const { job } = JSON.parse(text) as { job: string };
          return job === JSON.stringify({ joint });
        });
        assert.equal(matching.length, world.callerAnswers.length);
      },
    },
    {
      pattern: /a request through every entry is refused with (\d+) within (\d+) seconds/,
      run: async (world, statusCode = '', seconds = '') => {
        const refused = async (): Promise<boolean> => {
          const answers = await Promise.all(world.entries.map((_, index) => world.call(index, {})));
          return answers.every((answer) => answer.statusCode === Number(statusCode));
        };
        await world.waitUntil(
          'every entry to refuse requests',
          refused,
          Number(seconds) * MS_PER_SECOND,
        );
      },
    },
  ];
}
