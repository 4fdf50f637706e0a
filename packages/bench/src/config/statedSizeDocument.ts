/** A document of the stated size: 11 availability zones, 240 pools, 16,000 instances, 720 teams. */
import { type ConfigDocument, configDocumentSchema } from '@acaciadock/config';

const ZONES = 11;
const POOLS = 240;
const INSTANCES = 16_000;
const TEAMS = 720;
const INSTANCES_PER_RACK = 4;

function table<T>(count: number, prefix: string, make: (index: number) => T): Record<string, T> {
  return Object.fromEntries(
    Array.from({ length: count }, (_, index) => [`${prefix}${index}`, make(index)]),
  );
}

export function statedSizeDocument(): ConfigDocument {
  return configDocumentSchema.parse({
    schemaVersion: 1,
    deploymentName: 'stated size',
    regionId: 'region-1',
    zones: table(ZONES, 'z', () => ({})),
    pools: table(POOLS, 'p', () => ({ role: 'service' })),
    instances: table(INSTANCES, 'i', (index) => ({
      poolId: `p${index % POOLS}`,
      zoneId: `z${index % ZONES}`,
      rackId: `r${Math.floor(index / INSTANCES_PER_RACK)}`,
      address: '10.0.0.1:80',
      cores: 16,
      memoryBytes: 32 * 1024 ** 3,
      accelerators: 2,
    })),
    services: table(POOLS, 's', (index) => ({
      poolId: `p${index}`,
      idempotent: true,
      availabilityTarget: 0.999,
      latencyObjectiveMs: 2_000,
      defaultDeadlineMs: 10_000,
      maxDeadlineMs: 60_000,
      declaredRunMs: 20,
      taskLeaseMs: 10_000,
    })),
    teams: table(TEAMS, 't', () => ({ share: 1, limit: 100 })),
    policy: { weights: { bufferCost: 1, rollOutTime: 1, moves: 1, shareError: 1 } },
  });
}
