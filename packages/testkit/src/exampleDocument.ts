/**
 * Configuration documents for tests and the demo. Cores, memory and the number of targets per rack
 * match the `bondwright` deployment, one of the two in `packages/scenarios`.
 */
import { type ConfigDocument, configDocumentSchema } from '@acaciadock/config';

export interface ExampleTarget {
  readonly instanceId: string;
  readonly address: string;
}

export interface ExampleOptions {
  readonly targets: readonly ExampleTarget[];
  readonly spares?: readonly ExampleTarget[];
  readonly teams: Readonly<Record<string, { readonly share: number; readonly limit: number }>>;
  readonly services?: Readonly<Record<string, { readonly idempotent: boolean }>>;
}

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const TARGETS_PER_RACK = 4;

function instance(target: ExampleTarget, index: number, poolId: string): unknown {
  const zoneId = ZONES[index % ZONES.length];
  return {
    poolId,
    zoneId,
    rackId: `${zoneId}-r${Math.floor(index / (ZONES.length * TARGETS_PER_RACK))}`,
    address: target.address,
    cores: 16,
    memoryBytes: 32 * 1024 ** 3,
  };
}

/** Creates a document with a service pool and a spare pool across three availability zones. */
export function exampleDocument(options: ExampleOptions): ConfigDocument {
  const { targets, spares = [], teams } = options;
  const services = options.services ?? { advice: { idempotent: true } };
  return configDocumentSchema.parse({
    schemaVersion: 1,
    deploymentName: 'example',
    regionId: 'region-1',
    zones: Object.fromEntries(ZONES.map((zone) => [zone, {}])),
    pools: { main: { role: 'service' }, spare: { role: 'spare' } },
    instances: Object.fromEntries([
      ...targets.map((target, index) => [target.instanceId, instance(target, index, 'main')]),
      ...spares.map((target, index) => [target.instanceId, instance(target, index, 'spare')]),
    ]),
    services: Object.fromEntries(
      Object.entries(services).map(([serviceId, { idempotent }]) => [
        serviceId,
        {
          poolId: 'main',
          idempotent,
          availabilityTarget: 0.999,
          latencyObjectiveMs: 2_000,
          defaultDeadlineMs: 10_000,
          maxDeadlineMs: 60_000,
          declaredRunMs: 20,
          taskLeaseMs: 10_000,
        },
      ]),
    ),
    teams,
    policy: { weights: { bufferCost: 1, rollOutTime: 2, moves: 1, shareError: 2 } },
  });
}
