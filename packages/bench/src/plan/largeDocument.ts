/** Creates a document of the stated size: 240 pools, 16,000 instances, 11 availability zones. */
import { type Random } from '@acaciadock/core';
import { type ConfigDocument, configDocumentSchema } from '@acaciadock/config';

export const LARGE_POOLS = 240;
export const LARGE_INSTANCES = 16_000;
const ZONES = 11;
const INSTANCES_PER_RACK = 4;
const SPARE_POOLS = 5;
const MIN_NEEDED_RATIO = 0.7;
const MAX_NEEDED_RATIO = 0.9;

function pad(value: number): string {
  return String(value).padStart(5, '0');
}

/** Each service needs between 70 % and 90 % of the instances of its pool; five pools are spare. */
export function largeDocument(random: Random): ConfigDocument {
  const servicePools = LARGE_POOLS - SPARE_POOLS;
  const perPool = Math.floor(LARGE_INSTANCES / LARGE_POOLS);
  const poolIds = Array.from({ length: LARGE_POOLS }, (_, index) => `p${pad(index)}`);
  const racksPerZone = Math.ceil(LARGE_INSTANCES / INSTANCES_PER_RACK / ZONES);
  const instances = Array.from({ length: LARGE_INSTANCES }, (_, index) => {
    const rack = Math.floor(index / INSTANCES_PER_RACK);
    const zoneId = `z${pad(Math.floor(rack / racksPerZone))}`;
    return [
      `i${pad(index)}`,
      {
        poolId: poolIds[index % LARGE_POOLS],
        zoneId,
        rackId: `k${pad(rack)}`,
        address: '127.0.0.1:1',
        cores: 16,
        memoryBytes: 1,
        accelerators: index % 4,
      },
    ] as const;
  });
  const services = poolIds.slice(0, servicePools).map((poolId) => {
    const span = MAX_NEEDED_RATIO - MIN_NEEDED_RATIO;
    const ratio = MIN_NEEDED_RATIO + random.next() * span;
    const service = {
      poolId,
      idempotent: true,
      availabilityTarget: 0.999,
      latencyObjectiveMs: 1_000,
      minServingInstances: Math.floor(perPool * ratio),
      defaultDeadlineMs: 1_000,
      maxDeadlineMs: 1_000,
      declaredRunMs: 50,
      taskLeaseMs: 60_000,
    };
    return [`s-${poolId}`, service] as const;
  });
  return configDocumentSchema.parse({
    schemaVersion: 1,
    deploymentName: 'large',
    regionId: 'region-1',
    zones: Object.fromEntries(Array.from({ length: ZONES }, (_, zone) => [`z${pad(zone)}`, {}])),
    pools: Object.fromEntries(
      poolIds.map((poolId, index) => [
        poolId,
        { role: index < servicePools ? 'service' : 'spare' },
      ]),
    ),
    instances: Object.fromEntries(instances),
    services: Object.fromEntries(services),
    teams: {},
    policy: { weights: { bufferCost: 1, rollOutTime: 1, moves: 1, shareError: 1 } },
  });
}
