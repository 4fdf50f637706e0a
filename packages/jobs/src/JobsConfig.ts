/**
 * The configuration schema for jobs: queues with their hosts and pools, and teams with their keys,
 * weights and limits. Adapters convert the configuration format of their platform to this one.
 */
import * as z from 'zod';

const count = z.number().min(0);

export const resourceLimitSchema = z.object({
  /** 0 means no limit, as for the other resources. */
  cpuMilli: count.default(0),
  memoryMb: count.default(0),
  gpuCount: count.default(0),
});

/**
 * The time that the advice service takes for a decision, the interval that it adds for each target,
 * and how long its tickets are valid.
 */
export const adviceRuleSchema = z.object({
  decisionMs: count,
  intervalMs: count,
  validityMs: count,
});

export const queueConfigSchema = z.object({
  queueId: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  poolId: z.string(),
  /** 0 is the highest priority. */
  priority: z.number().int().default(0),
  maxAttempts: z.number().int().min(1).default(1),
  /** The latency objective is the critical path times this factor, plus `targetLatencyMs`. */
  stretch: z.number().min(0).default(1),
  targetLatencyMs: count.default(0),
  /** Accepts calls without a key. */
  isPublic: z.boolean().default(false),
  /** If set, each start of a task of the queue needs a ticket of the advice service. */
  advice: adviceRuleSchema.optional(),
});

export const poolConfigSchema = z.object({
  poolId: z.string(),
  /** Instances in this pool are switched off and cost nothing. */
  isSpare: z.boolean().default(false),
  /** Whether the targets of the pool reject tasks that do not fit. */
  rejectsOverload: z.boolean().default(false),
});

export const teamConfigSchema = z.object({
  teamId: z.string(),
  keys: z.array(z.string()).default([]),
  weight: z.number().min(0).default(1),
  limit: resourceLimitSchema.default({ cpuMilli: 0, memoryMb: 0, gpuCount: 0 }),
});

export const jobsConfigSchema = z.object({
  version: z.number().int(),
  queues: z.array(queueConfigSchema),
  pools: z.array(poolConfigSchema),
  teams: z.array(teamConfigSchema),
});

export type ResourceLimit = z.infer<typeof resourceLimitSchema>;
export type AdviceRule = z.infer<typeof adviceRuleSchema>;
export type QueueConfig = z.infer<typeof queueConfigSchema>;
export type PoolConfig = z.infer<typeof poolConfigSchema>;
export type TeamConfig = z.infer<typeof teamConfigSchema>;
export type JobsConfig = z.infer<typeof jobsConfigSchema>;
