/**
 * Schema of the maintenance state that the control stream reduces to: the controller, the open
 * jobs and the progress of the roll-out. A new controller needs no other state.
 */
import { entryIdSchema, idSchema, instanceIdSchema, poolIdSchema } from '@acaciadock/core';
import { z } from 'zod';
import { instanceStateSchema } from './InstanceState.js';

/** Lease of the controller role. Times are by the log's clock, in ms since the Unix epoch. */
export const controllerLeaseSchema = z.object({
  entryId: entryIdSchema,
  incarnation: idSchema,
  /** Offset of the claim in the control stream, so it increases with every claim. */
  epoch: z.int().min(0),
  leaseMs: z.int().min(1),
  expiresAtMs: z.int(),
});

export const jobPurposeSchema = z.enum([
  'reboot',
  'move',
  /** Closes an instance that the platform lists as leaving. */
  'leave',
  /**
   * Returns a closed instance that has no job to service, after health checks. The command of the
   * same name does something else: it repeats the health checks of a failed job.
   */
  'readmit',
]);

export const jobSchema = z.object({
  /** Also the operation id of the platform call. */
  jobId: idSchema,
  instanceId: instanceIdSchema,
  purpose: jobPurposeSchema,
  rollOutId: idSchema.optional(),
  /** Destination pool of a move. */
  toPoolId: poolIdSchema.optional(),
  state: instanceStateSchema,
  sinceMs: z.int(),
  /** The step is cancelled; the instance returns to service without it. */
  cancelled: z.boolean(),
  rebooted: z.boolean(),
});

/** A roll-out that is paused or stopped goes on with `resume-roll-out`; it can also be aborted. */
export const rollOutStatusSchema = z.enum([
  'running',
  /** Paused by an operator. Open jobs and moves continue, but no further step is started. */
  'paused',
  /** Stopped by the roll-out itself because an instance failed. Otherwise like `paused`. */
  'stopped',
  /** Ended by an operator. Steps that have not called the platform yet are cancelled. */
  'aborted',
  /** No instance is pending. Lent spares may still have to be returned. */
  'done',
]);

export const rollOutSchema = z.object({
  rollOutId: idSchema,
  status: rollOutStatusSchema,
  startedAtMs: z.int(),
  endedAtMs: z.int().optional(),
  /** Maximum number of racks that may have a step in progress. */
  racksAtOnce: z.int().min(1),
  totalInstances: z.int().min(0),
  /** Instances not rebooted yet, including those in progress. */
  pending: z.array(instanceIdSchema),
  failed: z.array(instanceIdSchema),
  /** Number of move jobs of this roll-out that have ended. */
  moves: z.int().min(0),
  /** Spare instances lent to service pools while their instances are rebooted. */
  lent: z.array(
    z.object({ instanceId: instanceIdSchema, fromPoolId: poolIdSchema, toPoolId: poolIdSchema }),
  ),
});

/** A move that has been requested but not started. */
export const wantedMoveSchema = z.object({
  /**
   * For a move that an operator ordered, the id of the command. For other moves the id is created
   * by `SpareLender`; the prefix `return.` marks the return of a lent spare.
   */
  moveId: idSchema,
  instanceId: instanceIdSchema,
  toPoolId: poolIdSchema,
  rollOutId: idSchema.optional(),
  /** Spare pool that the instance returns to later; set only if the move lends a spare. */
  lentFromPoolId: poolIdSchema.optional(),
});

export const maintenanceStateSchema = z.object({
  /** Offset of the last accepted record that is not a renewal; -1 before the first. */
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
