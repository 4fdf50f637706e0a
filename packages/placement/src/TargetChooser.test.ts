/** Tests which targets fit a task and which of them is chosen. */
import { describe, it } from '@acaciadock/core/testing';
import { type StepSpec, stepSpecSchema } from '@acaciadock/jobs';
import { type PlacementTarget, TargetChooser } from './TargetChooser.js';

function target(targetId: string, change: Partial<PlacementTarget> = {}): PlacementTarget {
  return {
    targetId,
    rackId: 'r1',
    labels: ['a', 'r1'],
    freeCpuMilli: 4_000,
    freeMemoryMb: 8_000,
    freeGpuCount: 0,
    longRunningCount: 0,
    servingCount: 0,
    fillerCount: 0,
    countOfStep: () => 0,
    ...change,
  };
}

function choose(
  step: Partial<StepSpec>,
  targets: PlacementTarget[],
  more: { avoidTargetId?: string; onlyRackId?: string } = {},
): string | undefined {
  const request = {
    step: stepSpecSchema.parse({ taskCount: 1, cpuMilli: 1_000, ...step }),
    stepId: 's',
    avoidTargetId: '',
    onlyRackId: '',
    ...more,
  };
  return TargetChooser.choose(targets, request)?.targetId;
}

describe('TargetChooser', () => {
  describe('a task that does not fit', () => {
    const cases = [
      { name: 'CPU', step: { cpuMilli: 5_000 }, target: {} },
      { name: 'memory', step: { memoryMb: 9_000 }, target: {} },
      { name: 'GPUs', step: { gpuCount: 1 }, target: {} },
      { name: 'a missing label', step: { requiredLabel: 'b' }, target: {} },
      {
        name: 'the limit per target of its step',
        step: { mostPerTarget: 2 },
        target: { countOfStep: () => 2 },
      },
    ];
    cases.forEach(({ name, step, target: change }) => {
      it(`is not placed for ${name}`, (t) => {
        t.equal(choose(step, [target('t', change)]), undefined);
      });
    });

    it('keeps a part of a slow target free', (t) => {
      const slow = { freeCpuMilli: 2_000, withheldCpuMilli: 1_500 };
      t.equal(choose({}, [target('slow', slow), target('sound')]), 'sound');
      t.equal(choose({}, [target('slow', { ...slow, withheldCpuMilli: 1_000 })]), 'slow');
    });

    it('places a filler task without free CPU', (t) => {
      t.equal(choose({ filler: true }, [target('t', { freeCpuMilli: 0 })]), 't');
    });
  });

  describe('among targets with room', () => {
    it('chooses the fullest, so that others become empty', (t) => {
      t.equal(choose({}, [target('empty'), target('full', { freeCpuMilli: 1_200 })]), 'full');
    });

    it('packs long-running tasks together', (t) => {
      const targets = [
        target('full', { freeCpuMilli: 1_200 }),
        target('l', { longRunningCount: 1 }),
      ];
      t.equal(choose({ longRunning: true }, targets), 'l');
    });

    it('keeps filler tasks and serving tasks on separate targets', (t) => {
      const serving = [target('serves', { servingCount: 1, longRunningCount: 1 }), target('free')];
      t.equal(choose({ filler: true, longRunning: true }, serving), 'free');
      const filled = [target('filled', { fillerCount: 1, longRunningCount: 1 }), target('free')];
      t.equal(choose({ tailTargetMs: 50, longRunning: true }, filled), 'free');
    });

    it('prefers the preferred rack over a fuller target', (t) => {
      const targets = [target('full', { freeCpuMilli: 1_200 }), target('near', { rackId: 'r2' })];
      t.equal(choose({ preferredRack: 'r2' }, targets), 'near');
    });

    it('chooses the target of the last failure only if no other fits', (t) => {
      const targets = [target('bad', { freeCpuMilli: 1_200 }), target('other')];
      t.equal(choose({}, targets, { avoidTargetId: 'bad' }), 'other');
      t.equal(choose({}, [target('bad')], { avoidTargetId: 'bad' }), 'bad');
    });
  });
});
