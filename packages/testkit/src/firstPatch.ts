/** Creates the patch that sets a complete document as the first version of a new deployment. */
import { type ConfigDocument, EMPTY_DOCUMENT, type PatchRecord } from '@acaciadock/config';

export function firstPatch(document: ConfigDocument, submittedAtMs = 0): PatchRecord {
  const fields = Object.keys(EMPTY_DOCUMENT) as (keyof ConfigDocument)[];
  return {
    kind: 'patch',
    schemaVersion: 1,
    patchId: 'first',
    baseVersion: 0,
    author: 'testkit',
    submittedAtMs,
    operations: fields.map((field) => ({
      op: 'replace',
      path: `/${field}`,
      value: document[field],
    })),
  };
}
