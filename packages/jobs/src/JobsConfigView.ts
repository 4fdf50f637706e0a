/** One version of the jobs configuration, indexed for lookups. */
import { err, ok, type Result } from 'neverthrow';
import {
  type JobsConfig,
  type PoolConfig,
  type QueueConfig,
  type TeamConfig,
} from './JobsConfig.js';

/** The properties of a call that determine its queue and team. */
export interface CallAccess {
  readonly host: string;
  readonly path: string;
  /** The key that the call presents, or an empty string. */
  readonly key: string;
}

/** A call that the configuration allows. */
export interface AllowedCall {
  readonly queue: QueueConfig;
  /** The team whose key was presented; empty on a public queue without a valid key. */
  readonly teamId: string;
  /** The path after the prefix of the queue: a job id, or empty for the queue itself. */
  readonly subPath: string;
}

export interface AccessRefusal {
  readonly kind: 'no-such-queue' | 'unknown-key';
}

export class JobsConfigView {
  private readonly queuesByHost = new Map<string, QueueConfig[]>();

  private readonly queues = new Map<string, QueueConfig>();

  private readonly pools = new Map<string, PoolConfig>();

  private readonly teams = new Map<string, TeamConfig>();

  private readonly teamByKey = new Map<string, string>();

  constructor(readonly config: JobsConfig) {
    config.queues.forEach((queue) => this.addQueue(queue));
    this.queuesByHost.forEach((queues) =>
      queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
    );
    config.pools.forEach((pool) => this.pools.set(pool.poolId, pool));
    config.teams.forEach((team) => {
      this.teams.set(team.teamId, team);
      team.keys.forEach((key) => this.teamByKey.set(key, team.teamId));
    });
  }

  get version(): number {
    return this.config.version;
  }

  get sparePoolIds(): string[] {
    return this.config.pools.filter((pool) => pool.isSpare).map((pool) => pool.poolId);
  }

  queue(queueId: string): QueueConfig | undefined {
    return this.queues.get(queueId);
  }

  pool(poolId: string): PoolConfig | undefined {
    return this.pools.get(poolId);
  }

  team(teamId: string): TeamConfig | undefined {
    return this.teams.get(teamId);
  }

  /** Finds the queue by host and longest path prefix, and checks the key. */
  resolve(access: CallAccess): Result<AllowedCall, AccessRefusal> {
    const queue = this.queuesByHost
      .get(access.host)
      ?.find((candidate) => access.path.startsWith(candidate.pathPrefix));
    if (!queue) return err({ kind: 'no-such-queue' });
    const subPath = access.path.slice(queue.pathPrefix.length);
    const teamId = this.teamByKey.get(access.key);
    if (teamId !== undefined) return ok({ queue, teamId, subPath });
    if (queue.isPublic) return ok({ queue, teamId: '', subPath });
    return err({ kind: 'unknown-key' });
  }

  private addQueue(queue: QueueConfig): void {
    this.queues.set(queue.queueId, queue);
    const queuesOfHost = this.queuesByHost.get(queue.host) ?? [];
    queuesOfHost.push(queue);
    this.queuesByHost.set(queue.host, queuesOfHost);
  }
}
