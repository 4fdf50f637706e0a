/** Sample documents and records for tests of the configuration. */
import { type ConfigDocument, configDocumentSchema } from '../ConfigDocument.js';
import { type PatchOperation, type PatchRecord } from '../ConfigRecord.js';

const SERVICE = {
  idempotent: true,
  availabilityTarget: 0.999,
  latencyObjectiveMs: 2_000,
  defaultDeadlineMs: 10_000,
  maxDeadlineMs: 60_000,
  declaredRunMs: 20,
  taskLeaseMs: 10_000,
};

const INSTANCE_FIELDS = { rackId: 'r1', address: '127.0.0.1:80', cores: 16, memoryBytes: 2 ** 35 };

/** A document with two pools, two instances, a keyed and an open service, and two teams. */
export function smallDocument(): ConfigDocument {
  return configDocumentSchema.parse({
    schemaVersion: 1,
    deploymentName: 'small',
    regionId: 'region-1',
    zones: { z1: {}, z2: {} },
    pools: { p1: { role: 'service' }, p2: { role: 'spare' } },
    instances: {
      i1: { ...INSTANCE_FIELDS, poolId: 'p1', zoneId: 'z1' },
      i2: { ...INSTANCE_FIELDS, poolId: 'p2', zoneId: 'z2' },
    },
    services: {
      s1: { ...SERVICE, poolId: 'p1' },
      s2: { ...SERVICE, poolId: 'p1', access: 'open', openTeamId: 'walk-in' },
    },
    teams: { desk: { share: 2, limit: 8 }, 'walk-in': { share: 1, limit: 2 } },
    policy: { weights: { bufferCost: 1, rollOutTime: 1, moves: 1, shareError: 1 } },
  });
}

/** A patch record as the submitter appends it. */
export function patchRecord(
  patchId: string,
  baseVersion: number,
  operations: readonly PatchOperation[],
): PatchRecord {
  return {
    kind: 'patch',
    schemaVersion: 1,
    patchId,
    baseVersion,
    author: 'operator',
    submittedAtMs: 0,
    operations: [...operations],
  };
}

/** A patch that sets the limit of the team `desk`. */
export function limitPatch(patchId: string, baseVersion: number, limit: number): PatchRecord {
  return patchRecord(patchId, baseVersion, [
    { op: 'replace', path: '/teams/desk/limit', value: limit },
  ]);
}
