/**
 * Schemas of the maintenance records in the control stream. Records of the controller carry the
 * epoch of its claim and are accepted only while that claim is the latest; operators' commands
 * carry no epoch.
 */
import { entryIdSchema, idSchema, instanceIdSchema, poolIdSchema } from '@acaciadock/core';
import { z } from 'zod';
import { instanceStateSchema } from './InstanceState.js';
import { jobPurposeSchema, maintenanceStateSchema, wantedMoveSchema } from './MaintenanceState.js';

const MAX_LISTED = 20_000;
const epoch = z.int().min(0);
/**
 * Offset of the last accepted record that the controller knew when it decided, renewals aside. The
 * record is accepted only if none was accepted since, so a late or duplicate append has no effect.
 */
const basisOffset = z.int().min(-1);

export const commandSchema = z.discriminatedUnion('action', [
  z.strictObject({
    action: z.literal('start-roll-out'),
    rollOutId: idSchema,
    instanceIds: z.array(instanceIdSchema).min(1).max(MAX_LISTED),
    racksAtOnce: z.int().min(1).default(1),
  }),
  z.strictObject({ action: z.literal('pause-roll-out'), rollOutId: idSchema }),
  z.strictObject({ action: z.literal('resume-roll-out'), rollOutId: idSchema }),
  z.strictObject({ action: z.literal('abort-roll-out'), rollOutId: idSchema }),
  z.strictObject({
    action: z.literal('move'),
    instanceId: instanceIdSchema,
    toPoolId: poolIdSchema,
  }),
  /**
   * Runs the health checks of a failed instance again: its job goes back to `probing`. Not the job
   * purpose of the same name, which is for closed instances without a job.
   */
  z.strictObject({ action: z.literal('readmit'), instanceId: instanceIdSchema }),
]);

const claimSchema = z.object({
  kind: z.literal('maintenance-claim'),
  claimId: idSchema,
  entryId: entryIdSchema,
  incarnation: idSchema,
  leaseMs: z.int().min(1),
});
const renewalSchema = z.object({
  kind: z.literal('maintenance-renewal'),
  renewalId: idSchema,
  epoch,
});
const releaseSchema = z.object({ kind: z.literal('maintenance-release'), epoch });
const commandRecordSchema = z.object({
  kind: z.literal('maintenance-command'),
  commandId: idSchema,
  author: z.string().min(1).max(200),
  command: commandSchema,
});
const newJobSchema = z.object({
  jobId: idSchema,
  instanceId: instanceIdSchema,
  purpose: jobPurposeSchema,
  rollOutId: idSchema.optional(),
  toPoolId: poolIdSchema.optional(),
});
const jobsOpenedSchema = z.object({
  kind: z.literal('maintenance-jobs-opened'),
  epoch,
  basisOffset,
  jobs: z.array(newJobSchema).max(MAX_LISTED),
  /** Wanted moves that these jobs execute or that cannot be executed. */
  settledMoveIds: z.array(idSchema).default([]),
  /** Moves that the roll-out needs next. */
  wantedMoves: z.array(wantedMoveSchema).default([]),
});
const transitionsSchema = z.object({
  kind: z.literal('maintenance-transitions'),
  epoch,
  basisOffset,
  transitions: z.array(z.object({ jobId: idSchema, to: instanceStateSchema })).max(MAX_LISTED),
});
/** The instances of these jobs are no longer in the configuration. */
const jobsDroppedSchema = z.object({
  kind: z.literal('maintenance-jobs-dropped'),
  epoch,
  basisOffset,
  jobIds: z.array(idSchema),
});
const snapshotSchema = z.object({
  kind: z.literal('maintenance-snapshot'),
  epoch,
  state: maintenanceStateSchema,
});

export const maintenanceRecordSchema = z.discriminatedUnion('kind', [
  claimSchema,
  renewalSchema,
  releaseSchema,
  commandRecordSchema,
  jobsOpenedSchema,
  transitionsSchema,
  jobsDroppedSchema,
  snapshotSchema,
]);

export type MaintenanceCommand = z.infer<typeof commandSchema>;
export type NewJob = z.infer<typeof newJobSchema>;
export type MaintenanceRecord = z.infer<typeof maintenanceRecordSchema>;
export type ClaimRecord = z.infer<typeof claimSchema>;
export type CommandRecord = z.infer<typeof commandRecordSchema>;
export type JobsOpened = z.infer<typeof jobsOpenedSchema>;
export type Transitions = z.infer<typeof transitionsSchema>;
export type SnapshotRecord = z.infer<typeof snapshotSchema>;
