/** Guards against orders without an answer that are taken for crashes, so that sound tasks start apart. */
import { RecordingLogger } from '@acaciadock/coordinator/testing';
import { describe, it } from '@acaciadock/core/testing';
import { type JobWorld } from './testing/JobWorld.js';
import { play, total } from './testing/overloadPlay.js';

/** Two thirds of what the targets have room for. */
const JOBS_PER_S = { team: 32 };
const WEIGHTS = { team: 1 };
const TARGETS = 48;
const LATE_SHARE = 0.06;

function loseAnswers(world: JobWorld): void {
  world.entries.forEach((entry) => Object.assign(entry.portFaults, { lateOrderShare: LATE_SHARE }));
}

describe('targets that leave some orders without an answer', () => {
  [1, 2, 3].forEach((seed) => {
    it(`do not make suspects of sound tasks (seed ${seed})`, async (t) => {
      const logger = new RecordingLogger();
      const options = { seed, targetCount: TARGETS, logger };
      const { world, play: played } = await play(JOBS_PER_S, WEIGHTS, options, loseAnswers);
      t.same(logger.of('queue-suspected'), []);
      t.same(logger.of('suspects-waiting'), []);
      t.same(world.observer.broken, [], 'no guarantee violated');
      t.comment(`${total(played.inTime)} of ${total(played.sent)} in time`);
    });
  });
});
