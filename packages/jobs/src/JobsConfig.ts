/**
 * The configuration that jobs need: queues and where they send their work, pools, teams with
 * keys, weights and limits. The product's form; whoever publishes it translates.
 */
import * as z from 'zod';

const count = z.number().min(0);

export const resourceLimitSchema = z.object({
  /** 0 means no limit, as for the other two. */
  cpuMilli: count.default(0),
  memoryMb: count.default(0),
  gpuCount: count.default(0),
});

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
  /** 0 comes first. */
  priority: z.number().int().default(0),
  maxAttempts: z.number().int().min(1).default(1),
  stretch: z.number().min(0).default(1),
  targetLatencyMs: count.default(0),
  /** Open to callers without a key. */
  isPublic: z.boolean().default(false),
  advice: adviceRuleSchema.optional(),
});

export const poolConfigSchema = z.object({
  poolId: z.string(),
  /** Instances here are off and cost nothing. */
  isSpare: z.boolean().default(false),
  /** Whether its targets refuse what does not fit. */
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
