/** Applies fair sharing to the passes over scarce pools, and journals the credits of teams. */
import { type Clock, type Logger } from '@acaciadock/core';
import { type JobsConfigView } from '@acaciadock/jobs';
import {
  type ClassOrder,
  FairShares,
  type PoolHoldings,
  QueueOrder,
  ResourceVector,
  type ShareClaim,
  type SharePass,
} from '@acaciadock/placement';
import { type FleetTarget } from './FleetTarget.js';
import { type Ownership } from './Ownership.js';
import { type QueuedStep } from './QueuedStep.js';
import { ShareRecord, SHARES_KEY } from './ShareRecord.js';

/** Shortest interval between two records of the credits, in milliseconds. */
const JOURNAL_MS = 1_000;

/**
 * What the teams hold in a pool is summed up at most this often, in milliseconds: passes over a busy pool
 * come hundreds of times a second, and shares change little within a tenth of a short task.
 */
const HOLDINGS_MS = 50;

/** Weight of teams that are not configured, e.g. of callers without a key on public queues. */
const DEFAULT_WEIGHT = 1;

export interface ShareTrackerDeps {
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
}

export class ShareTracker {
  private readonly shares = new FairShares();

  private readonly holdings = new Map<string, { atMs: number; held: PoolHoldings }>();

  private journaledMs = -Infinity;

  constructor(private readonly deps: ShareTrackerDeps) {}

  /** Restores the credits of a previous owner; returns false if the key is another one. */
  restore(key: string, value: Buffer): boolean {
    if (key !== SHARES_KEY) return false;
    const restored = ShareRecord.restore(value, this.shares, this.deps.clock);
    if (restored.isErr()) this.deps.logger.warn('shares-unreadable', { ...restored.error });
    return true;
  }

  passOver(
    poolId: string,
    steps: readonly QueuedStep[],
    targets: readonly FleetTarget[],
  ): SharePass {
    const nowMs = this.deps.clock.monotonicMs();
    return {
      poolId,
      holdings: this.holdingsOf(poolId, targets, nowMs),
      waitingTeamIds: new Set(steps.map(({ entry }) => entry.job.definition.teamId)),
      weightOf: (teamId) => this.deps.config().team(teamId)?.weight ?? DEFAULT_WEIGHT,
      nowMs,
    };
  }

  private holdingsOf(poolId: string, targets: readonly FleetTarget[], nowMs: number): PoolHoldings {
    const known = this.holdings.get(poolId);
    if (known && nowMs - known.atMs < HOLDINGS_MS) return known.held;
    const held = ShareTracker.sumUp(targets);
    this.holdings.set(poolId, { atMs: nowMs, held });
    return held;
  }

  private static sumUp(targets: readonly FleetTarget[]): PoolHoldings {
    let capacity = ResourceVector.ZERO;
    const byTeam = new Map<string, ResourceVector>();
    targets.forEach((target) => {
      capacity = capacity.plus(target.capacity);
      target.runs.forEach(({ place }) => {
        const { teamId } = place.job.definition;
        byTeam.set(teamId, (byTeam.get(teamId) ?? ResourceVector.ZERO).plus(place.step.spec));
      });
    });
    return { capacity, byTeam };
  }

  /** Orders teams among jobs that have not started; started ones keep their order and are counted. */
  orderOf(pass: SharePass): ClassOrder<QueuedStep> {
    const order = this.shares.orderFor(pass);
    return (steps) => {
      if (!steps[0]?.hasStarted) return order.order(steps, ShareTracker.claimOf);
      order.count(steps, ShareTracker.claimOf);
      return steps;
    };
  }

  /** Credits the teams whose entitled work found no room. */
  recordDenied(pass: SharePass, blocked: readonly QueuedStep[]): void {
    const nowUnixMs = this.deps.clock.unixMs();
    const entitled = blocked.filter((step) =>
      ['in-time', 'late'].includes(QueueOrder.urgencyOf(step, nowUnixMs)),
    );
    const teamIds = entitled.map(({ entry }) => entry.job.definition.teamId);
    this.shares.recordDenied(pass, new Set(teamIds));
    this.journal(pass.nowMs);
  }

  private journal(nowMs: number): void {
    if (nowMs - this.journaledMs < JOURNAL_MS) return;
    if (this.shares.current(nowMs).length === 0) return;
    this.journaledMs = nowMs;
    const { ownership, clock } = this.deps;
    void ownership.writer.write(SHARES_KEY, () => ShareRecord.encode(this.shares, clock));
  }

  private static claimOf({ entry, step }: QueuedStep): ShareClaim {
    const { teamId } = entry.job.definition;
    return { teamId, amount: step.spec, taskCount: step.waitingTasks.length };
  }
}
