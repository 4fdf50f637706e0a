/**
 * The specification of a job as a team submits it: a directed acyclic graph of steps, each with
 * tasks of equal size. Durations are in milliseconds, processor in thousandths of a core, memory in
 * megabytes.
 */
import * as z from 'zod';

const MAX_SPEC_CHARACTERS = 4_000;
const MAX_STEPS = 256;
const MAX_TASKS_PER_STEP = 10_000;

/** A definition is one record of the journal; the rest of the record has the settings of the queue. */
const MAX_SPECIFICATION_BYTES = 250_000;

const count = z.number().int().min(0);

export const stepSpecSchema = z.object({
  taskCount: z.number().int().min(1).max(MAX_TASKS_PER_STEP),
  cpuMilli: count.default(0),
  memoryMb: count.default(0),
  gpuCount: count.default(0),
  /** The team's estimate of the run time of a task; may be far off. */
  estimatedRuntimeMs: z.number().min(0).default(0),
  /** Indexes of earlier steps that must be done before this one starts. */
  afterSteps: z.array(count).default([]),
  checkpointing: z.boolean().default(false),
  /** The tasks run only together: all must be present before any of them works. */
  gang: z.boolean().default(false),
  /** Places all tasks of a gang in one rack; has no effect without `gang`. */
  sameRack: z.boolean().default(false),
  /** A label that the target must have; empty if none is required. */
  requiredLabel: z.string().default(''),
  /** The rack to prefer if a target in it fits; empty if there is no preference. */
  preferredRack: z.string().default(''),
  /** Maximum number of tasks of this step on one target; 0 means no limit. */
  mostPerTarget: count.default(0),
  /**
   * Permits several concurrent runs of a task, of which the first that is done counts. The
   * coordinator starts at most one copy of a task, and only while its target is silent or its run
   * stalls or is slow. Has no effect on gangs and long-running tasks.
   */
  speculative: z.boolean().default(false),
  /** Runs until the job is cancelled and is restarted however it ends. */
  longRunning: z.boolean().default(false),
  image: z.string().default(''),
  /** Bound on the tail latency of a serving task; 0 means none. */
  tailTargetMs: z.number().min(0).default(0),
  /** Uses only processor time that other tasks leave idle. */
  filler: z.boolean().default(false),
  /**
   * Maximum number of tasks that may be unavailable at once because of this system. Undefined means
   * that no number was agreed; the step's tasks are then not stopped for planned work.
   */
  mostUnavailable: count.optional(),
});

export type StepSpec = z.infer<typeof stepSpecSchema>;

export const scheduleSchema = z.object({
  firstDueUnixMs: z.number(),
  periodMs: z.number().min(0),
  repeatCount: z.number().int().min(1),
});

/** Whether every step comes only after steps that are listed before it. */
function hasOrderedSteps({ steps }: { readonly steps: readonly StepSpec[] }): boolean {
  return steps.every((step, index) => step.afterSteps.every((after) => after < index));
}

function fitsRecord(specification: unknown): boolean {
  return Buffer.byteLength(JSON.stringify(specification)) <= MAX_SPECIFICATION_BYTES;
}

export const jobSpecSchema = z
  .object({
    spec: z.string().max(MAX_SPEC_CHARACTERS),
    steps: z.array(stepSpecSchema).min(1).max(MAX_STEPS),
    schedule: scheduleSchema.optional(),
  })
  .refine(hasOrderedSteps, {
    message: 'a step may come only after earlier steps',
    path: ['steps'],
  })
  .refine(fitsRecord, { message: 'the specification is too large' });

export type JobSchedule = z.infer<typeof scheduleSchema>;
export type JobSpec = z.infer<typeof jobSpecSchema>;

/** An accepted job: its specification and the settings of its queue at the time of acceptance. */
export const jobDefinitionSchema = z.object({
  jobId: z.string(),
  queueId: z.string(),
  poolId: z.string(),
  teamId: z.string(),
  /** 0 is the highest priority. Used only if the queue is no longer configured. */
  priority: z.number(),
  maxAttempts: z.number(),
  /** The latency objective is the critical path times this factor, plus `targetLatencyMs`. */
  stretch: z.number(),
  targetLatencyMs: z.number(),
  acceptedUnixMs: z.number(),
  /**
   * The team had used up its share in the second before the job was accepted. A record without it
   * stays readable, because a job that is skipped could be accepted again.
   */
  isBeyondShare: z.boolean().default(false),
  /** The definition of a finished job keeps no steps. */
  spec: z
    .object({
      spec: z.string(),
      steps: z.array(stepSpecSchema).max(MAX_STEPS),
      schedule: scheduleSchema.optional(),
    })
    .refine(hasOrderedSteps),
});

export type JobDefinition = Readonly<z.infer<typeof jobDefinitionSchema>>;
