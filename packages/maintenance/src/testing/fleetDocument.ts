/** Creates small configurations for tests, with instances spread over racks and zones. */
import { type ConfigDocument, configDocumentSchema } from '@acaciadock/config';

export interface TestPool {
  readonly poolId: string;
  readonly instances: number;
  /** Undefined for a spare pool. */
  readonly minServingInstances?: number;
}

export interface TestLayout {
  readonly pools: readonly TestPool[];
  readonly racks: number;
  readonly zones?: number;
}

const TASK_LEASE_MS = 2_000;

/** Instance ids are pool id and number; the n-th of all instances is in rack n modulo `racks`. */
export function fleetDocument({ pools, racks, zones = 3 }: TestLayout): ConfigDocument {
  const instances = pools.flatMap(({ poolId, instances: count }) =>
    Array.from({ length: count }, (_, index) => ({ poolId, id: `${poolId}${index}` })),
  );
  const services = pools.filter(({ minServingInstances }) => minServingInstances !== undefined);
  return configDocumentSchema.parse({
    schemaVersion: 1,
    deploymentName: 'test',
    regionId: 'r',
    zones: Object.fromEntries(Array.from({ length: zones }, (_, zone) => [`z${zone}`, {}])),
    pools: Object.fromEntries(
      pools.map(({ poolId, minServingInstances }) => [
        poolId,
        { role: minServingInstances === undefined ? 'spare' : 'service' },
      ]),
    ),
    instances: Object.fromEntries(
      instances.map(({ poolId, id }, index) => [
        id,
        {
          poolId,
          zoneId: `z${(index % racks) % zones}`,
          rackId: `k${index % racks}`,
          address: '127.0.0.1:1',
          cores: 16,
          memoryBytes: 1,
        },
      ]),
    ),
    services: Object.fromEntries(
      services.map(({ poolId, minServingInstances }) => [
        `service-${poolId}`,
        {
          poolId,
          idempotent: true,
          availabilityTarget: 0.999,
          latencyObjectiveMs: 1_000,
          minServingInstances,
          defaultDeadlineMs: 1_000,
          maxDeadlineMs: 1_000,
          declaredRunMs: 50,
          taskLeaseMs: TASK_LEASE_MS,
        },
      ]),
    ),
    teams: {},
    policy: { weights: { bufferCost: 1, rollOutTime: 1, moves: 1, shareError: 1 } },
  });
}
