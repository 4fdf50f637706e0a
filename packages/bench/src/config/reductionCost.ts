/** Measures the time in which an entry reduces one patch to a document of the stated size. */
import { performance } from 'node:perf_hooks';
import { checkDocument, ConfigReducer, type PatchOperation } from '@acaciadock/config';
import { patchRecord } from '@acaciadock/config/testing';
import { percentiles } from './percentiles.js';
import { statedSizeDocument } from './statedSizeDocument.js';

const PATCHES = 200;

export interface ReductionCost {
  /** Median time to reduce a patch to a team's limit. */
  readonly teamMs: number;
  /** Median time to reduce a patch to an instance's pool. */
  readonly instanceMs: number;
  /** Time of one check of the complete document. */
  readonly fullCheckMs: number;
  /** Time in which an entry that has reached the version of a snapshot checks it. */
  readonly snapshotCheckMs: number;
}

function measureSnapshotCheck(reducer: ConfigReducer): number {
  const snapshot: unknown = JSON.parse(JSON.stringify(reducer.snapshot()));
  const startMs = performance.now();
  const verdict = reducer.reduce(reducer.state.offset + 1, snapshot);
  const durationMs = performance.now() - startMs;
  if (verdict.kind !== 'snapshot-agrees') throw new Error(verdict.kind, { cause: verdict });
  return durationMs;
}

export function measureReduction(): ReductionCost {
  const document = statedSizeDocument();
  const reducer = new ConfigReducer(document);
  const median = (operation: (index: number) => PatchOperation): number => {
    const durationsMs = Array.from({ length: PATCHES }, (_, index) => {
      const { version, offset } = reducer.state;
      const record = patchRecord(`p${version}`, version, [operation(index)]);
      const startMs = performance.now();
      const verdict = reducer.reduce(offset + 1, record);
      const durationMs = performance.now() - startMs;
      if (verdict.kind !== 'applied') throw new Error(verdict.kind, { cause: verdict });
      return durationMs;
    });
    return percentiles(durationsMs).p50;
  };
  const teamMs = median((index) => ({
    op: 'replace',
    path: `/teams/t${index}/limit`,
    value: index,
  }));
  const instanceMs = median((index) => ({
    op: 'replace',
    path: `/instances/i${index}/poolId`,
    value: 'p7',
  }));
  const startMs = performance.now();
  checkDocument(document);
  const fullCheckMs = performance.now() - startMs;
  return {
    teamMs,
    instanceMs,
    fullCheckMs,
    snapshotCheckMs: measureSnapshotCheck(reducer),
  };
}
