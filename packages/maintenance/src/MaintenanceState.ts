/**
 * What the control stream says about maintenance: who is the controller, which jobs are open and
 * how far the roll-out is. It is the whole state that a successor needs.
 */
import { entryIdSchema, idSchema, instanceIdSchema, poolIdSchema } from '@acaciadock/core';
import { z } from 'zod';
import { instanceStateSchema } from './InstanceState.js';

/** The controller's role. All instants are the log's clock, milliseconds since the Unix epoch. */
export const controllerLeaseSchema = z.object({
  entryId: entryIdSchema,
  incarnation: idSchema,
  /** Offset of the claim in the control stream: it only grows. */
  epoch: z.int().min(0),
  leaseMs: z.int().min(1),
  expiresAtMs: z.int(),
});

/** Why an instance is taken out of service. */
export const jobPurposeSchema = z.enum(['reboot', 'move', 'leave', 'readmit']);

export const jobSchema = z.object({
  /** Also the operation id of the platform call. */
  jobId: idSchema,
  instanceId: instanceIdSchema,
  purpose: jobPurposeSchema,
  rollOutId: idSchema.optional(),
  /** Pool to move to. */
  toPoolId: poolIdSchema.optional(),
  state: instanceStateSchema,
  sinceMs: z.int(),
  /** The step is given up: the instance goes back without it. */
  cancelled: z.boolean(),
  rebooted: z.boolean(),
});

export const rollOutStatusSchema = z.enum(['running', 'paused', 'stopped', 'aborted', 'done']);

export const rollOutSchema = z.object({
  rollOutId: idSchema,
  status: rollOutStatusSchema,
  startedAtMs: z.int(),
  endedAtMs: z.int().optional(),
  racksAtOnce: z.int().min(1),
  totalInstances: z.int().min(0),
  /** Not rebooted yet, those under way included. */
  pending: z.array(instanceIdSchema),
  failed: z.array(instanceIdSchema),
  /** Moves made for this roll-out. */
  moves: z.int().min(0),
  /** Spare instances that a service pool has for the time of its steps. */
  lent: z.array(
    z.object({ instanceId: instanceIdSchema, fromPoolId: poolIdSchema, toPoolId: poolIdSchema }),
  ),
});

/** A move that waits for its turn. */
export const wantedMoveSchema = z.object({
  moveId: idSchema,
  instanceId: instanceIdSchema,
  toPoolId: poolIdSchema,
  rollOutId: idSchema.optional(),
  /** Set where a spare is lent: the pool that it goes back to. */
  lentFromPoolId: poolIdSchema.optional(),
});

export const maintenanceStateSchema = z.object({
  /** Offset of the last accepted record other than a renewal; -1 before the first. */
  basisOffset: z.int().min(-1),
  lease: controllerLeaseSchema.optional(),
  jobs: z.record(idSchema, jobSchema),
  rollOut: rollOutSchema.optional(),
  wantedMoves: z.array(wantedMoveSchema),
});

export type ControllerLease = z.infer<typeof controllerLeaseSchema>;
export type JobPurpose = z.infer<typeof jobPurposeSchema>;
export type Job = z.infer<typeof jobSchema>;
export type RollOutStatus = z.infer<typeof rollOutStatusSchema>;
export type RollOut = z.infer<typeof rollOutSchema>;
export type WantedMove = z.infer<typeof wantedMoveSchema>;
export type MaintenanceState = z.infer<typeof maintenanceStateSchema>;

export const EMPTY_MAINTENANCE_STATE: MaintenanceState = {
  basisOffset: -1,
  jobs: {},
  wantedMoves: [],
};
