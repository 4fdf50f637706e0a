/**
 * What a team hands in: a directed graph of steps, each with tasks of one size. All durations are
 * milliseconds, processor is thousandths of a core, memory is megabytes.
 */
import * as z from 'zod';

const MOST_SPEC_CHARACTERS = 4_000;
const MOST_STEPS = 256;
const MOST_TASKS_PER_STEP = 10_000;

const count = z.number().int().min(0);

export const stepSpecSchema = z.object({
  taskCount: z.number().int().min(1).max(MOST_TASKS_PER_STEP),
  cpuMilli: count.default(0),
  memoryMb: count.default(0),
  gpuCount: count.default(0),
  /** The team's guess of a task's run time; may be far off. */
  estimatedRuntimeMs: z.number().min(0).default(0),
  /** Indexes of earlier steps that must have ended before this one starts. */
  afterSteps: z.array(count).default([]),
  checkpointing: z.boolean().default(false),
  /** The tasks run only together: all present before any works. */
  gang: z.boolean().default(false),
  sameRack: z.boolean().default(false),
  requiredLabel: z.string().default(''),
  preferredRack: z.string().default(''),
  /** Most tasks of this step on one target; 0 means no limit. */
  mostPerTarget: count.default(0),
  /** Copies may run at the same time; the first to end counts. */
  speculative: z.boolean().default(false),
  /** Runs until the job is cancelled and is restarted however it ends. */
  longRunning: z.boolean().default(false),
  image: z.string().default(''),
  /** Bound on the tail of a serving task's response times; 0 means none. */
  tailTargetMs: z.number().min(0).default(0),
  /** Uses only processor time that other tasks leave over. */
  filler: z.boolean().default(false),
  /** Tasks that may be away at once because of this system; undefined means no promise. */
  mostUnavailable: count.optional(),
});

export const scheduleSchema = z.object({
  firstDueUnixMs: z.number(),
  periodMs: z.number().min(0),
  repeatCount: z.number().int().min(1),
});

export const jobSpecSchema = z
  .object({
    spec: z.string().max(MOST_SPEC_CHARACTERS),
    steps: z.array(stepSpecSchema).min(1).max(MOST_STEPS),
    schedule: scheduleSchema.optional(),
  })
  .refine(
    (job) => job.steps.every((step, index) => step.afterSteps.every((after) => after < index)),
    { message: 'a step may come only after earlier steps', path: ['steps'] },
  );

export type StepSpec = z.infer<typeof stepSpecSchema>;
export type JobSchedule = z.infer<typeof scheduleSchema>;
export type JobSpec = z.infer<typeof jobSpecSchema>;

/** A job as accepted: the specification and what its queue promised at that moment. */
export interface JobDefinition {
  readonly jobId: string;
  readonly queueId: string;
  readonly poolId: string;
  readonly teamId: string;
  /** 0 comes first. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** The latency objective is this factor on the longest chain of work, plus the target latency. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  readonly acceptedUnixMs: number;
  /** The team had already sent what it is owed in that second. */
  readonly isBeyondShare: boolean;
  readonly spec: JobSpec;
}
