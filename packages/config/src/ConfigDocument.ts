/**
 * The schema of the configuration document, of which a deployment has one. An instance names its
 * pool, so it belongs to exactly one pool by construction. Durations are in milliseconds and sizes
 * in bytes, as the field names say; shares and weights have no unit.
 */
import {
  idSchema,
  instanceIdSchema,
  poolIdSchema,
  rackIdSchema,
  regionIdSchema,
  serviceIdSchema,
  teamIdSchema,
  zoneIdSchema,
} from '@acaciadock/core';
import { z } from 'zod';

const MAX_SLOTS = 1_024;
const MAX_CONNECTIONS = 4_096;
const MAX_TEAM_LIMIT = 1_000_000;
const MAX_BODY_BYTES = 64 * 1024 * 1024;
const MAX_DURATION_MS = 31 * 24 * 60 * 60 * 1_000;

const durationMs = z.int().min(0).max(MAX_DURATION_MS);
const bodyBytes = z.int().min(1).max(MAX_BODY_BYTES);
const ratio = z.number().min(0).max(1);

/** `host:port` with a literal IP address, or `[v6]:port`. */
export const addressSchema = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/);

export const poolSchema = z.strictObject({
  role: z
    .enum(['service', 'spare'])
    .describe('Instances of a spare pool serve nobody until they are moved.'),
  description: z.string().max(500).default('').describe('A remark for operators.'),
});

/**
 * The desired state of an instance. Only a `serving` instance gets new work. `draining` is set by
 * an operator. `maintenance` is set by the maintenance controller, which also resets it, but only
 * if the value has not been changed in the meantime.
 */
export const instanceIntentSchema = z.enum(['serving', 'draining', 'maintenance']);

export const instanceSchema = z.strictObject({
  poolId: poolIdSchema.describe('The one pool that the instance belongs to.'),
  zoneId: zoneIdSchema.describe('Availability zone.'),
  rackId: rackIdSchema.describe('Instances of one rack fail and are maintained together.'),
  address: addressSchema.describe(
    'Where gateways reach the target: `host:port` with a literal IP address, or `[v6]:port`.',
  ),
  cores: z.int().min(1).describe('Processor cores.'),
  memoryBytes: z.int().min(1).describe('Memory.'),
  accelerators: z.int().min(0).default(0).describe('Accelerators.'),
  slots: z
    .int()
    .min(1)
    .max(MAX_SLOTS)
    .default(8)
    .describe('Requests that the target runs at once.'),
  connections: z
    .int()
    .min(1)
    .max(MAX_CONNECTIONS)
    .default(64)
    .describe('Connections that the target takes from all entries together.'),
  intent: instanceIntentSchema
    .default('serving')
    .describe(
      'What is wanted of the instance. Only a `serving` one gets new work; `maintenance` is set and taken back by the controller.',
    ),
});

export const serviceSchema = z.strictObject({
  poolId: poolIdSchema.describe('The pool whose instances run the service.'),
  access: z
    .enum(['keyed', 'open'])
    .default('keyed')
    .describe(
      "`keyed`: a team's key is required. `open`: no key; the work counts for `openTeamId`.",
    ),
  openTeamId: teamIdSchema.optional().describe('The team that work without a key counts for.'),
  idempotent: z
    .boolean()
    .describe('Whether a request may be run again. If not, it is sent to a target at most once.'),
  availabilityTarget: z
    .number()
    .gt(0)
    .lt(1)
    .describe(
      'The part of requests that must be answered; also what a maintenance step must leave room for.',
    ),
  latencyObjectiveMs: durationMs.describe(
    'Time within which `latencyTarget` of the requests must be answered.',
  ),
  latencyTarget: z
    .number()
    .gt(0)
    .lt(1)
    .default(0.99)
    .describe('The part of requests that must be answered within `latencyObjectiveMs`.'),
  minServingInstances: z
    .int()
    .min(0)
    .default(1)
    .describe('Fewest serving instances that the service needs to keep its availability target.'),
  defaultDeadlineMs: durationMs.describe('Deadline of a request that names none.'),
  maxDeadlineMs: durationMs.describe('Longest deadline that a request may name.'),
  declaredRunMs: durationMs.describe('Expected run time until enough requests have been measured.'),
  taskLeaseMs: durationMs.describe(
    'Longest time that one attempt may run on a target: the lease of the task.',
  ),
  maxAttempts: z
    .int()
    .min(1)
    .max(10)
    .default(3)
    .describe('Most attempts for one idempotent request.'),
  retryBudgetRatio: ratio.default(0.1).describe('Part of the requests that may be tried again.'),
  maxQueuedPerTeam: z.int().min(1).default(10_000).describe('Most requests of one team that wait.'),
  maxRequestBytes: bodyBytes.default(2 * 1024 * 1024).describe('Largest request body.'),
  maxAnswerBytes: bodyBytes.default(8 * 1024 * 1024).describe('Largest answer body.'),
  accelerators: z
    .int()
    .min(0)
    .default(0)
    .describe('Accelerators that an instance needs to run the service.'),
});

export const keySchema = z.strictObject({
  sha256: z
    .string()
    .regex(/^[0-9a-f]{64}$/)
    .describe('SHA-256 of the key in lower-case hex. The key itself is never kept.'),
  grantedAtMs: z
    .int()
    .min(0)
    .describe('When the key was granted, milliseconds since the Unix epoch.'),
  note: z.string().max(200).default('').describe('A remark for operators.'),
});

export const teamSchema = z.strictObject({
  displayName: z.string().max(200).default('').describe('Name for reports.'),
  share: z.number().gt(0).describe("Weight of the team's portion when the fleet is full."),
  limit: z
    .int()
    .min(0)
    .max(MAX_TEAM_LIMIT)
    .describe('Most requests of the team that may run at once across the fleet.'),
  keys: z.record(idSchema, keySchema).default({}).describe('Keys by key id.'),
});

export const policyWeightsSchema = z.strictObject({
  bufferCost: z.number().min(0).describe('Cost of instances held in reserve.'),
  rollOutTime: z.number().min(0).describe('Time that a roll-out takes.'),
  moves: z.number().min(0).describe('Moves of instances between pools.'),
  shareError: z.number().min(0).describe('Distance of each team from its share.'),
});

export const policySchema = z.strictObject({
  weights: policyWeightsSchema.describe(
    'What the planning of maintenance and spare instances weighs against each other.',
  ),
  urgentStartMs: durationMs.default(5_600).describe('Urgent work must start within this time.'),
  urgentHeadroomRatio: ratio
    .default(0.1)
    .describe("Part of a service's slots that background work leaves free for urgent work."),
  backgroundAgeingMs: durationMs
    .default(60_000)
    .describe('Background work that has waited this long is treated as urgent.'),
  maintenancePeriodMs: durationMs
    .default(14 * 24 * 60 * 60 * 1_000)
    .describe('Every instance is maintained once in this time.'),
  maxEjectedRatio: ratio
    .default(0.5)
    .describe('Most part of a pool that health checks may eject at once.'),
});

export const zoneSchema = z.strictObject({
  description: z.string().max(500).default('').describe('A remark for operators.'),
});

const documentFields = z.strictObject({
  schemaVersion: z.literal(1).describe('Format of the document.'),
  deploymentName: z.string().min(1).max(200).describe('Name for reports.'),
  regionId: regionIdSchema.describe('The region that the deployment runs in.'),
  zones: z.record(zoneIdSchema, zoneSchema).describe('Availability zones by id.'),
  pools: z.record(poolIdSchema, poolSchema).describe('Pools by id.'),
  instances: z
    .record(instanceIdSchema, instanceSchema)
    .describe('Instances by id. Each names its one pool.'),
  services: z.record(serviceIdSchema, serviceSchema).describe('Services by id.'),
  teams: z.record(teamIdSchema, teamSchema).describe('Teams by id.'),
  policy: policySchema.describe('Deployment-wide policy.'),
});

export interface DocumentFault {
  /** JSON pointer to the invalid value. */
  readonly pointer: string;
  readonly detail: string;
}

export interface ReferenceFault {
  readonly path: readonly string[];
  readonly detail: string;
}

type DocumentFields = z.infer<typeof documentFields>;

function unknown(path: readonly string[], what: string): ReferenceFault {
  return { path, detail: `names an unknown ${what}` };
}

function instanceFaults(document: DocumentFields, id: string): ReferenceFault[] {
  const instance = document.instances[id];
  if (!instance) return [];
  const faults: ReferenceFault[] = [];
  if (!Object.hasOwn(document.pools, instance.poolId)) {
    faults.push(unknown(['instances', id, 'poolId'], 'pool'));
  }
  if (!Object.hasOwn(document.zones, instance.zoneId)) {
    faults.push(unknown(['instances', id, 'zoneId'], 'availability zone'));
  }
  return faults;
}

function serviceFaults(document: DocumentFields, id: string): ReferenceFault[] {
  const service = document.services[id];
  if (!service) return [];
  const faults: ReferenceFault[] = [];
  if (!Object.hasOwn(document.pools, service.poolId)) {
    faults.push(unknown(['services', id, 'poolId'], 'pool'));
  }
  const { access, openTeamId } = service;
  if (access !== 'open') return faults;
  if (openTeamId === undefined || !Object.hasOwn(document.teams, openTeamId)) {
    faults.push(unknown(['services', id, 'openTeamId'], 'team'));
  }
  return faults;
}

/**
 * Dangling references of the given instances and services: ids that the document does not define.
 */
export function referenceFaults(
  document: DocumentFields,
  instanceIds: readonly string[],
  serviceIds: readonly string[],
): ReferenceFault[] {
  return [
    ...instanceIds.flatMap((id) => instanceFaults(document, id)),
    ...serviceIds.flatMap((id) => serviceFaults(document, id)),
  ];
}

export const configDocumentSchema = documentFields.superRefine((document, context) => {
  const { instances, services } = document;
  referenceFaults(document, Object.keys(instances), Object.keys(services)).forEach(
    ({ path, detail }) => context.addIssue({ code: 'custom', path: [...path], message: detail }),
  );
});

export type ConfigDocument = z.infer<typeof configDocumentSchema>;
/** The document before defaults are filled in: fields with a default are optional. */
export type ConfigDocumentInput = z.input<typeof configDocumentSchema>;
export type PoolConfig = z.infer<typeof poolSchema>;
export type InstanceConfig = z.infer<typeof instanceSchema>;
export type InstanceIntent = z.infer<typeof instanceIntentSchema>;
export type ServiceConfig = z.infer<typeof serviceSchema>;
export type TeamConfig = z.infer<typeof teamSchema>;
export type KeyConfig = z.infer<typeof keySchema>;
export type PolicyConfig = z.infer<typeof policySchema>;
export type PolicyWeights = z.infer<typeof policyWeightsSchema>;
