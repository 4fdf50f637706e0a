/** Tests which waiting steps are skipped in a full pool. */
import { describe, it } from '@acaciadock/core/testing';
import { type StepSpec, stepSpecSchema } from '@acaciadock/jobs';
import { RejectedSizes } from './RejectedSizes.js';

function step(change: Partial<StepSpec> = {}): StepSpec {
  return stepSpecSchema.parse({ taskCount: 1, cpuMilli: 2_000, memoryMb: 1_000, ...change });
}

function rejectedAfter(...refused: readonly StepSpec[]): RejectedSizes {
  const rejectedSizes = new RejectedSizes();
  refused.forEach((one) => rejectedSizes.note(one));
  return rejectedSizes;
}

describe('RejectedSizes', () => {
  it('excludes steps that need at least as much of every resource', (t) => {
    const rejectedSizes = rejectedAfter(step());
    t.ok(rejectedSizes.excludes(step()));
    t.ok(
      rejectedSizes.excludes(step({ cpuMilli: 3_000, requiredLabel: 'fast', mostPerTarget: 1 })),
    );
  });

  it('does not exclude steps that need less of any resource', (t) => {
    const rejectedSizes = rejectedAfter(step());
    t.notOk(rejectedSizes.excludes(step({ cpuMilli: 1_900, memoryMb: 9_000 })));
    t.notOk(rejectedSizes.excludes(step({ cpuMilli: 9_000, memoryMb: 900 })));
  });

  it('ignores steps that may not have been placed for another reason', (t) => {
    const constrained = [
      step({ requiredLabel: 'fast' }),
      step({ mostPerTarget: 1 }),
      step({ gang: true }),
      step({ filler: true }),
    ];
    constrained.forEach((one) => t.notOk(rejectedAfter(one).excludes(step())));
  });

  it('never excludes gangs and filler tasks', (t) => {
    const rejectedSizes = rejectedAfter(step());
    t.notOk(rejectedSizes.excludes(step({ gang: true })));
    t.notOk(rejectedSizes.excludes(step({ filler: true })));
  });
});
