/**
 * Two pools that both need more instances than the fleet has. Guards against closing the same
 * instances for moves to and fro while work waits in both pools.
 */
import { describe, it } from '@acaciadock/core/testing';
import { RecordingLogger } from '@acaciadock/coordinator/testing';
import { createWorld, type StepInput } from './testing/takeoverHelpers.js';

const OTHER_POOL = 'other';
const STEP: StepInput = { taskCount: 6, cpuMilli: 1_000 };
const PERIOD_MS = 250;
const PERIODS = 60;

/** An instance may be closed for a move and be moved back, but not again and again. */
const MAX_RECLAIMS = 3;

describe('two pools in a fleet that is too small for both', () => {
  it('do not close the same instances again and again', async (t) => {
    for (let seed = 1; seed <= 6; seed += 1) {
      const logger = new RecordingLogger();
      const world = await createWorld({
        seed,
        targetCount: 0,
        instanceCount: 4,
        otherPoolIds: [OTHER_POOL],
        runtimeMs: 1_500,
        refusesOverload: false,
        logger,
      });
      for (let index = 0; index < PERIODS; index += 1) {
        const isOther = (index + seed) % 5 < 2;
        void world.submit(`j${index}`, { steps: [STEP] }, isOther ? OTHER_POOL : undefined);
        await world.run(PERIOD_MS);
      }
      const counts = new Map<string, number>();
      logger.of('instance-reclaimed').forEach(({ instanceId }) => {
        const id = String(instanceId);
        counts.set(id, (counts.get(id) ?? 0) + 1);
      });
      const most = Math.max(0, ...counts.values());
      t.ok(most <= MAX_RECLAIMS, `seed ${seed}: one instance ${most} times`);
    }
  });
});
