/**
 * Configurations that match the size of two real deployments: five services, a spare pool and 35
 * instances, at most four to a rack, in three availability zones.
 */
import { type ConfigDocument, configDocumentSchema, TeamKey } from '@acaciadock/config';

export type DeploymentName = 'bondwright' | 'nha-an';

export interface DeploymentTarget {
  readonly instanceId: string;
  readonly address: string;
}

export interface Deployment {
  readonly document: ConfigDocument;
  readonly teamId: string;
  readonly teamKey: string;
}

interface ServiceShape {
  readonly serviceId: string;
  readonly instances: number;
  readonly minServingInstances: number;
}

interface DeploymentShape {
  readonly cores: number;
  readonly memoryBytes: number;
  readonly weights: ConfigDocument['policy']['weights'];
  readonly services: readonly ServiceShape[];
}

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const RACKS = 9;
const GIB_BYTES = 1024 ** 3;
const TEAM_LIMIT = 240;
const TASK_LEASE_MS = 2_000;
export const DEPLOYMENT_TARGETS = 35;

const SHAPES: Readonly<Record<DeploymentName, DeploymentShape>> = {
  bondwright: {
    cores: 16,
    memoryBytes: 32 * GIB_BYTES,
    weights: { bufferCost: 1, rollOutTime: 3, moves: 1, shareError: 3 },
    services: [
      { serviceId: 'adhesive-advice', instances: 7, minServingInstances: 5 },
      { serviceId: 'joint-check', instances: 6, minServingInstances: 4 },
      { serviceId: 'curing-study', instances: 6, minServingInstances: 4 },
      // Has one instance too few to cover a maintenance step and the loss of a rack: its
      // maintenance needs a spare.
      { serviceId: 'creep-study', instances: 6, minServingInstances: 5 },
      { serviceId: 'catalogue', instances: 6, minServingInstances: 4 },
    ],
  },
  'nha-an': {
    cores: 32,
    memoryBytes: 64 * GIB_BYTES,
    weights: { bufferCost: 3, rollOutTime: 1, moves: 3, shareError: 1 },
    services: [
      { serviceId: 'eligibility', instances: 7, minServingInstances: 5 },
      { serviceId: 'dossier', instances: 7, minServingInstances: 5 },
      { serviceId: 'subsidy', instances: 6, minServingInstances: 5 },
      { serviceId: 'filing', instances: 6, minServingInstances: 4 },
      { serviceId: 'letters', instances: 6, minServingInstances: 4 },
    ],
  },
};

function poolOf(shape: DeploymentShape, index: number): string {
  let left = index;
  for (const { serviceId, instances } of shape.services) {
    if (left < instances) return `pool-${serviceId}`;
    left -= instances;
  }
  return 'spare';
}

function instanceOf(shape: DeploymentShape, target: DeploymentTarget, index: number): unknown {
  const rack = index % RACKS;
  const zoneId = ZONES[rack % ZONES.length];
  return {
    poolId: poolOf(shape, index),
    zoneId,
    rackId: `${zoneId}-r${Math.floor(rack / ZONES.length)}`,
    address: target.address,
    cores: shape.cores,
    memoryBytes: shape.memoryBytes,
  };
}

/** Creates a deployment's configuration for these targets, with one team and its key. */
export function deploymentDocument(
  name: DeploymentName,
  targets: readonly DeploymentTarget[],
): Deployment {
  const shape = SHAPES[name];
  const teamId = `${name}-desk`;
  const { keyId, key, sha256 } = TeamKey.create(teamId);
  const document = configDocumentSchema.parse({
    schemaVersion: 1,
    deploymentName: name,
    regionId: 'region-1',
    zones: Object.fromEntries(ZONES.map((zone) => [zone, {}])),
    pools: Object.fromEntries([
      ...shape.services.map(({ serviceId }) => [`pool-${serviceId}`, { role: 'service' }]),
      ['spare', { role: 'spare' }],
    ]),
    instances: Object.fromEntries(
      targets.map((target, index) => [target.instanceId, instanceOf(shape, target, index)]),
    ),
    services: Object.fromEntries(
      shape.services.map(({ serviceId, minServingInstances }) => [
        serviceId,
        {
          poolId: `pool-${serviceId}`,
          idempotent: serviceId !== 'subsidy' && serviceId !== 'filing',
          availabilityTarget: 0.999,
          latencyObjectiveMs: 2_000,
          minServingInstances,
          defaultDeadlineMs: 10_000,
          maxDeadlineMs: 60_000,
          declaredRunMs: 50,
          taskLeaseMs: TASK_LEASE_MS,
        },
      ]),
    ),
    teams: {
      [teamId]: {
        share: 1,
        limit: TEAM_LIMIT,
        keys: { [keyId]: { sha256, grantedAtMs: 0, note: 'scenario' } },
      },
    },
    policy: { weights: shape.weights },
  });
  return { document, teamId, teamKey: key };
}
