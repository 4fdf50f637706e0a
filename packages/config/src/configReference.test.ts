import { readFile } from 'node:fs/promises';
import { describe, it } from '@acaciadock/core/testing';
import { format } from 'prettier';
import { checkDocument } from './DocumentCheck.js';
import { configReference } from './configReference.js';

const ROOT = new URL('../../../', import.meta.url);

async function read(path: string): Promise<string> {
  return readFile(new URL(path, ROOT), 'utf8');
}

describe('docs/CONFIG.md', () => {
  it('matches the schema (regenerate it with node tools/config-reference.js)', async (t) => {
    const options = JSON.parse(await read('.prettierrc.json')) as object;
    const expected = await format(configReference(), { ...options, parser: 'markdown' });
    t.equal(await read('docs/CONFIG.md'), expected);
  });
});

describe('shipped examples', () => {
  const examples = ['bondwright', 'nha-an'];
  const sizes = { zones: 3, pools: 6, instances: 35, services: 5, teams: 6 };
  examples.forEach((name) => {
    it(`examples/${name}.json is valid and has the expected sizes`, async (t) => {
      const checked = checkDocument(JSON.parse(await read(`examples/${name}.json`)));
      t.same(checked.ok ? [] : checked.faults, []);
      if (!checked.ok) return;
      const { document } = checked;
      const found = Object.fromEntries(
        Object.keys(sizes).map((section) => [
          section,
          Object.keys(document[section as keyof typeof sizes]).length,
        ]),
      );
      t.same(found, sizes);
      const instances = Object.values(document.instances);
      t.ok(instances.every(({ slots, connections }) => slots === 8 && connections === 64));
      const spares = Object.values(document.pools).filter(({ role }) => role === 'spare');
      t.equal(spares.length, 1);
      Object.values(document.services).forEach(({ poolId, minServingInstances }) => {
        const size = instances.filter((instance) => instance.poolId === poolId).length;
        t.ok(size >= 6 && size <= 9, `${poolId} has ${size} instances`);
        t.ok(minServingInstances < size, 'at least one instance can be maintained');
      });
    });
  });

  it('has at most four instances per rack in Nhà An', async (t) => {
    const document = JSON.parse(await read('examples/nha-an.json')) as {
      instances: Record<string, { rackId: string }>;
    };
    const racks = Object.values(document.instances).map(({ rackId }) => rackId);
    const largest = Math.max(
      ...racks.map((rack) => racks.filter((other) => other === rack).length),
    );
    t.equal(largest, 4);
  });
});
