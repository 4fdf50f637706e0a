/** Measures the configuration follower: the document in memory, and the reduction of one patch. */
import { ConfigReducer, EMPTY_DOCUMENT } from '@acaciadock/config';
import { scaledDocument } from './scaledDocument.js';
import { heapBytes, type RoleCost, RoleProbe, meanCpuUs } from './RoleProbe.js';

const PATCHES = 200;

function patch(patchId: string, baseVersion: number, operations: readonly object[]): unknown {
  return {
    kind: 'patch',
    schemaVersion: 1,
    patchId,
    baseVersion,
    author: 'bench',
    submittedAtMs: 0,
    operations,
  };
}

export class ConfigProbe extends RoleProbe {
  override readonly role = 'configuration follower';

  override readonly sizeUnit = 'instance';

  override readonly operation = 'reduce one patch';

  override readonly sizes = [1_000, 4_000, 8_000, 16_000];

  override readonly statedSize = 16_000;

  override measure(size: number): RoleCost {
    const document = scaledDocument(size);
    const fields = Object.keys(EMPTY_DOCUMENT) as (keyof typeof document)[];
    const replaced = fields.map((field) => ({
      op: 'replace',
      path: `/${field}`,
      value: document[field],
    }));
    const first = JSON.stringify(patch('first', 0, replaced));
    const before = heapBytes();
    const reducer = new ConfigReducer(EMPTY_DOCUMENT);
    reducer.reduce(0, JSON.parse(first));
    const heap = heapBytes() - before;
    const operationUs = meanCpuUs(PATCHES, (index) => {
      const operations = [
        { op: 'replace', path: `/instances/i${index}/intent`, value: 'draining' },
      ];
      reducer.reduce(index + 1, patch(`p${index}`, index + 1, operations));
    });
    if (reducer.state.version !== PATCHES + 1) throw new RangeError('a patch was not applied');
    return { heapBytes: heap, operationUs };
  }
}
