/** Which waiting steps are passed over in a full pool. */
import { describe, it } from '@acaciadock/core/testing';
import { type StepSpec, stepSpecSchema } from '@acaciadock/jobs';
import { RoomBound } from './RoomBound.js';

function step(change: Partial<StepSpec> = {}): StepSpec {
  return stepSpecSchema.parse({ taskCount: 1, cpuMilli: 2_000, memoryMb: 1_000, ...change });
}

function boundAfter(...refused: readonly StepSpec[]): RoomBound {
  const bound = new RoomBound();
  refused.forEach((one) => bound.note(one));
  return bound;
}

describe('RoomBound', () => {
  it('passes over what is at least as large in everything', (t) => {
    const bound = boundAfter(step());
    t.ok(bound.excludes(step()));
    t.ok(bound.excludes(step({ cpuMilli: 3_000, requiredLabel: 'fast', mostPerTarget: 1 })));
  });

  it('tries what is smaller in anything', (t) => {
    const bound = boundAfter(step());
    t.notOk(bound.excludes(step({ cpuMilli: 1_900, memoryMb: 9_000 })));
    t.notOk(bound.excludes(step({ cpuMilli: 9_000, memoryMb: 900 })));
  });

  it('learns nothing from a step that may have been refused for another reason', (t) => {
    const choosy = [
      step({ requiredLabel: 'fast' }),
      step({ mostPerTarget: 1 }),
      step({ gang: true }),
      step({ filler: true }),
    ];
    choosy.forEach((one) => t.notOk(boundAfter(one).excludes(step())));
  });

  it('always tries gangs and filling tasks', (t) => {
    const bound = boundAfter(step());
    t.notOk(bound.excludes(step({ gang: true })));
    t.notOk(bound.excludes(step({ filler: true })));
  });
});
