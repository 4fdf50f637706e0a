/** Tests which targets fit a task and which of them is chosen. */
import { Random } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type StepSpec, stepSpecSchema } from '@acaciadock/jobs';
import { ResourceVector } from './ResourceVector.js';
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
    it('leaves no target with free CPU that has no memory to go with it', (t) => {
      // Fails if targets are packed by free CPU alone: both large tasks then share a target, and
      // half of its CPU can't be used.
      const targets = ['a', 'b', 'c'].map((id) => ({ ...target(id, { freeMemoryMb: 64_000 }) }));
      const large = stepSpecSchema.parse({ taskCount: 2, cpuMilli: 1_000, memoryMb: 30_000 });
      const small = stepSpecSchema.parse({ taskCount: 2, cpuMilli: 3_000, memoryMb: 4_000 });
      const work = ResourceVector.ZERO.plus(large, 2).plus(small, 2);
      const chosen = [large, large, small, small].map((step) => {
        const request = { step, stepId: 's', avoidTargetId: '', onlyRackId: '' };
        const best = TargetChooser.choose(targets, request, work);
        if (!best) return undefined;
        const freeCpuMilli = best.freeCpuMilli - step.cpuMilli;
        Object.assign(best, { freeCpuMilli, freeMemoryMb: best.freeMemoryMb - step.memoryMb });
        return best.targetId;
      });
      t.same(chosen, ['a', 'b', 'a', 'b']);
    });

    it('packs by memory where it is the scarcest', (t) => {
      // Fails if targets are packed by free CPU: the last memory of `full` then stays unused.
      const full = target('full', { freeMemoryMb: 2_000 });
      const other = target('other', { freeCpuMilli: 3_000 });
      t.equal(choose({ cpuMilli: 100, memoryMb: 2_000 }, [other, full]), 'full');
    });

    it('chooses by free CPU where CPU is the scarcest', (t) => {
      // Fails if memory that is plentiful changes a choice, among them those of equal targets.
      const random = new Random(20261204);
      for (let round = 0; round < 200; round += 1) {
        const targets = Array.from({ length: 30 }, (_, index) => {
          const freeCpuMilli = 100 * Math.floor(random.next() * 40);
          return target(`${index}`, { freeCpuMilli, freeMemoryMb: 8_000 + 900 * index });
        });
        const fitting = targets.filter((one) => one.freeCpuMilli >= 1_000);
        const least = Math.min(...fitting.map((one) => one.freeCpuMilli));
        const expected = fitting.find((one) => one.freeCpuMilli === least);
        t.equal(choose({ memoryMb: 1_000 }, targets), expected?.targetId);
      }
    });

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
