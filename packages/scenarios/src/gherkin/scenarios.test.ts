import { readdir, readFile } from 'node:fs/promises';
import { describe, it } from '@acaciadock/core/testing';
import { ConfigSteps } from './ConfigSteps.js';
import { FleetWorld } from './FleetWorld.js';
import { parseFeature } from './parseFeature.js';
import { PlatformSteps } from './PlatformSteps.js';
import { RequestSteps } from './RequestSteps.js';
import { ScenarioRunner } from './ScenarioRunner.js';

const FEATURES = new URL('../../features/', import.meta.url);

const runner = new ScenarioRunner([new PlatformSteps(), new ConfigSteps(), new RequestSteps()]);

const files = await readdir(FEATURES);
const texts = await Promise.all(files.map((file) => readFile(new URL(file, FEATURES), 'utf8')));

files.forEach((file, index) => {
  const parsed = parseFeature(texts[index] ?? '', file);
  describe(file, () => {
    if (parsed.isErr()) {
      it('can be parsed', (t) => {
        t.fail(parsed.error.kind, parsed.error);
      });
      return;
    }
    parsed.value.forEach((scenario) => {
      it(scenario.name, async (t) => {
        const world = new FleetWorld();
        t.teardown(() => world.stop());
        const result = await runner.run(scenario, world);
        t.same(result.isErr() ? result.error : undefined, undefined);
      });
    });
  });
});

describe('ScenarioRunner', () => {
  const scenario = { featureName: 'f', name: 's' };
  const step = { pattern: /a (.+)/, run: () => undefined };

  it('rejects a line that matches no step or several steps, before it runs any step', async (t) => {
    let ran = 0;
    const counting = {
      pattern: /count/,
      run: () => {
        ran += 1;
      },
    };
    const strict = new ScenarioRunner([{ steps: [counting, step, step] }]);
    t.match(await strict.run({ ...scenario, steps: ['count', 'other'] }, undefined), {
      error: { kind: 'step-not-defined', text: 'other' },
    });
    t.match(await strict.run({ ...scenario, steps: ['count', 'a line'] }, undefined), {
      error: { kind: 'step-ambiguous' },
    });
    t.equal(ran, 0);
  });

  it('reports which step failed', async (t) => {
    const cause = new Error('broken');
    const failing = { pattern: /fail/, run: () => Promise.reject(cause) };
    const result = await new ScenarioRunner([{ steps: [failing] }]).run(
      { ...scenario, steps: ['fail'] },
      undefined,
    );
    t.match(result, { error: { kind: 'step-failed', text: 'fail', cause } });
  });

  it('rejects a file without a feature', (t) => {
    t.match(parseFeature('Scenario without a feature', 'x'), {
      error: { kind: 'feature-malformed' },
    });
  });
});
