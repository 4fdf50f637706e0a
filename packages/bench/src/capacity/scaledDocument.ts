/** Creates configuration documents of any size, in the proportions of the stated size. */
import { type ConfigDocument, configDocumentSchema } from '@acaciadock/config';

const STATED_INSTANCES = 16_000;
const STATED_POOLS = 240;
const STATED_TEAMS = 720;
const ZONES = 11;
const INSTANCES_PER_RACK = 20;

/** A document with `instances` instances, and pools, services and teams in proportion. */
export function scaledDocument(instances: number): ConfigDocument {
  const part = instances / STATED_INSTANCES;
  const pools = Math.max(1, Math.round(STATED_POOLS * part));
  const teams = Math.max(1, Math.round(STATED_TEAMS * part));
  const numbered = <T>(count: number, make: (index: number) => [string, T]): Record<string, T> =>
    Object.fromEntries(Array.from({ length: count }, (_, index) => make(index)));
  return configDocumentSchema.parse({
    schemaVersion: 1,
    deploymentName: 'capacity',
    regionId: 'region-1',
    zones: numbered(ZONES, (index) => [`zone-${index}`, {}]),
    pools: numbered(pools, (index) => [`pool-${index}`, { role: 'service' }]),
    instances: numbered(instances, (index) => [
      `i${index}`,
      {
        poolId: `pool-${index % pools}`,
        zoneId: `zone-${index % ZONES}`,
        rackId: `rack-${Math.floor(index / INSTANCES_PER_RACK)}`,
        address: `10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:80`,
        cores: 16,
        memoryBytes: 32 * 1024 ** 3,
      },
    ]),
    services: numbered(pools, (index) => [
      `service-${index}`,
      {
        poolId: `pool-${index}`,
        idempotent: true,
        availabilityTarget: 0.999,
        latencyObjectiveMs: 2_000,
        defaultDeadlineMs: 10_000,
        maxDeadlineMs: 60_000,
        declaredRunMs: 100,
        taskLeaseMs: 10_000,
      },
    ]),
    teams: numbered(teams, (index) => [
      `team-${index}`,
      { share: 1, limit: 200, keys: { k1: { sha256: 'a'.repeat(64), grantedAtMs: 0 } } },
    ]),
    policy: { weights: { bufferCost: 1, rollOutTime: 1, moves: 1, shareError: 1 } },
  });
}
