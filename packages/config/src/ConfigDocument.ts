/**
 * The one configuration document of a deployment. An instance names its pool, so it belongs to
 * exactly one pool by construction. Durations are in milliseconds, sizes in bytes, as the field
 * names say; shares and weights have no unit.
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
  /** Instances of a spare pool serve nobody until they are moved. */
  role: z.enum(['service', 'spare']),
  description: z.string().max(500).default(''),
});

/**
 * What is wanted of an instance. Only a `serving` one gets new work. `draining` is an operator's
 * wish; `maintenance` is the controller's, which it takes back itself and only if it still stands.
 */
export const instanceIntentSchema = z.enum(['serving', 'draining', 'maintenance']);

export const instanceSchema = z.strictObject({
  poolId: poolIdSchema,
  zoneId: zoneIdSchema,
  rackId: rackIdSchema,
  address: addressSchema,
  cores: z.int().min(1),
  memoryBytes: z.int().min(1),
  accelerators: z.int().min(0).default(0),
  slots: z.int().min(1).max(MAX_SLOTS).default(8),
  connections: z.int().min(1).max(MAX_CONNECTIONS).default(64),
  intent: instanceIntentSchema.default('serving'),
});

export const serviceSchema = z.strictObject({
  poolId: poolIdSchema,
  /** `keyed`: a team's key is required. `open`: no key; the work counts for `openTeamId`. */
  access: z.enum(['keyed', 'open']).default('keyed'),
  openTeamId: teamIdSchema.optional(),
  idempotent: z.boolean(),
  /** The part of requests that must be answered; also what a maintenance step must leave room for. */
  availabilityTarget: z.number().gt(0).lt(1),
  latencyObjectiveMs: durationMs,
  /** The part of requests that must be answered within `latencyObjectiveMs`. */
  latencyTarget: z.number().gt(0).lt(1).default(0.99),
  /** Fewest serving instances that the service needs to keep its availability target. */
  minServingInstances: z.int().min(0).default(1),
  defaultDeadlineMs: durationMs,
  maxDeadlineMs: durationMs,
  declaredRunMs: durationMs,
  /** Longest time that one attempt may run on a target: the lease of the task. */
  taskLeaseMs: durationMs,
  maxAttempts: z.int().min(1).max(10).default(3),
  retryBudgetRatio: ratio.default(0.1),
  maxQueuedPerTeam: z.int().min(1).default(10_000),
  maxRequestBytes: bodyBytes.default(2 * 1024 * 1024),
  maxAnswerBytes: bodyBytes.default(8 * 1024 * 1024),
  accelerators: z.int().min(0).default(0),
});

export const keySchema = z.strictObject({
  /** SHA-256 of the key in lower-case hex. The key itself is never kept. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/),
  grantedAtMs: z.int().min(0),
  note: z.string().max(200).default(''),
});

export const teamSchema = z.strictObject({
  displayName: z.string().max(200).default(''),
  /** Weight of the team's portion when the fleet is full. */
  share: z.number().gt(0),
  /** Most requests of the team that may run at once across the fleet. */
  limit: z.int().min(0).max(MAX_TEAM_LIMIT),
  keys: z.record(idSchema, keySchema).default({}),
});

export const policyWeightsSchema = z.strictObject({
  bufferCost: z.number().min(0),
  rollOutTime: z.number().min(0),
  moves: z.number().min(0),
  shareError: z.number().min(0),
});

export const policySchema = z.strictObject({
  weights: policyWeightsSchema,
  /** Urgent work must start within this time. */
  urgentStartMs: durationMs.default(5_600),
  /** Part of a service's slots that background work leaves free for urgent work. */
  urgentHeadroomRatio: ratio.default(0.1),
  /** Background work that has waited this long is treated as urgent. */
  backgroundAgeingMs: durationMs.default(60_000),
  maintenancePeriodMs: durationMs.default(14 * 24 * 60 * 60 * 1_000),
  /** Most part of a pool that health checks may eject at once. */
  maxEjectedRatio: ratio.default(0.5),
});

export const zoneSchema = z.strictObject({ description: z.string().max(500).default('') });

const documentFields = z.strictObject({
  schemaVersion: z.literal(1),
  deploymentName: z.string().min(1).max(200),
  regionId: regionIdSchema,
  zones: z.record(zoneIdSchema, zoneSchema),
  pools: z.record(poolIdSchema, poolSchema),
  instances: z.record(instanceIdSchema, instanceSchema),
  services: z.record(serviceIdSchema, serviceSchema),
  teams: z.record(teamIdSchema, teamSchema),
  policy: policySchema,
});

export interface DocumentFault {
  /** JSON pointer of the place that does not fit. */
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

/** References of these instances and services to what the document does not hold. */
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
/** The document as written by hand: fields with a default may be left out. */
export type ConfigDocumentInput = z.input<typeof configDocumentSchema>;
export type PoolConfig = z.infer<typeof poolSchema>;
export type InstanceConfig = z.infer<typeof instanceSchema>;
export type InstanceIntent = z.infer<typeof instanceIntentSchema>;
export type ServiceConfig = z.infer<typeof serviceSchema>;
export type TeamConfig = z.infer<typeof teamSchema>;
export type KeyConfig = z.infer<typeof keySchema>;
export type PolicyConfig = z.infer<typeof policySchema>;
export type PolicyWeights = z.infer<typeof policyWeightsSchema>;
