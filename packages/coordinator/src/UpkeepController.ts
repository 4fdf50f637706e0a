/**
 * Carries out upkeep waves. Each instance goes through two phases: it is reserved, that is closed
 * to new tasks, and then taken down once nothing runs on it. Long-running tasks are moved away as
 * far as the disruption budgets of their steps allow.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { type PoolPressure, type UpkeepCandidate, UpkeepPlanner } from '@acaciadock/placement';
import { type FleetInstance, type UpkeepWave, type WaveReports } from './contracts/index.js';
import { type FleetOrders } from './FleetOrders.js';
import { type Ownership } from './Ownership.js';
import { type TargetTable } from './TargetTable.js';
import { type TaskRelocator } from './TaskRelocator.js';

/** Estimated time until a reserved instance is empty, in milliseconds. */
const DRAIN_ESTIMATE_MS = 4_000;

/** Prefix of the journal keys that hold the instances in `begun` of each wave. */
const WAVE_PREFIX = 'wave/';

export interface UpkeepControllerDeps {
  readonly orders: FleetOrders;
  readonly reports: WaveReports;
  readonly targets: TargetTable;
  readonly relocator: TaskRelocator;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isSpare: (poolId: string) => boolean;
  readonly pressures: () => ReadonlyMap<string, PoolPressure>;
}

export class UpkeepController extends Disposable {
  /** Instances whose upkeep has begun or was refused for good, by wave. */
  private readonly begun = new Map<number, Set<string>>();

  private readonly published = new Map<number, 'running' | 'completed'>();

  /** Instances that are closed to new tasks for upkeep. */
  private readonly reserved = new Set<string>();

  /** Pools in which a long-running task can't move because no other target has room for it. */
  private poolsLackingRoom = new Set<string>();

  constructor(
    private readonly upkeepMs: number,
    private readonly deps: UpkeepControllerDeps,
  ) {
    super();
  }

  /** Restores the progress of a wave from the journal; returns false if the key is another one. */
  restore(key: string, value: Buffer): boolean {
    if (!key.startsWith(WAVE_PREFIX)) return false;
    const instanceIds = JSON.parse(value.toString('utf8')) as string[];
    this.begun.set(Number(key.slice(WAVE_PREFIX.length)), new Set(instanceIds));
    return true;
  }

  /** Whether the instance is closed to new tasks for upkeep. */
  isReserved(instanceId: string): boolean {
    return this.reserved.has(instanceId);
  }

  /** Whether a long-running task must leave an instance of the pool but no target has room. */
  lacksRoom(poolId: string): boolean {
    return this.poolsLackingRoom.has(poolId);
  }

  /** Runs one round: reserves instances and sends the upkeep orders that are due in each wave. */
  reconcile(waves: readonly UpkeepWave[]): void {
    // As of the previous round.
    const former = this.poolsLackingRoom;
    this.poolsLackingRoom = new Set();
    waves.forEach((wave) => this.reconcileWave(wave));
    this.poolsLackingRoom.forEach((poolId) => {
      if (!former.has(poolId)) this.deps.logger.info('upkeep-lacks-room', { poolId });
    });
  }

  private reconcileWave(wave: UpkeepWave): void {
    if (this.published.get(wave.waveId) === 'completed') return;
    const begun = this.begunOf(wave.waveId);
    // Instances of the wave whose upkeep has yet to begin.
    const left = this.deps.orders.instances.filter(
      ({ instanceId }) => wave.instanceIds.includes(instanceId) && !begun.has(instanceId),
    );
    if (left.length === 0) {
      void this.publish(wave.waveId, 'completed');
      return;
    }
    if (!this.published.has(wave.waveId)) void this.publish(wave.waveId, 'running');
    const down = this.downOf(wave);
    const plan = UpkeepPlanner.plan({
      candidates: left.map((instance) => this.candidateOf(instance)),
      pools: this.deps.pressures(),
      downCount: down.length,
      mostAtOnce: wave.mostAtOnce,
      timeLeftMs: wave.dueMs - this.deps.clock.monotonicMs(),
      perInstanceMs: this.upkeepMs + DRAIN_ESTIMATE_MS,
    });
    plan.reserve.forEach((instanceId) => this.reserved.add(instanceId));
    left.forEach((instance) => this.drain(instance));
    plan.begin.forEach((instanceId) => {
      const instance = left.find((one) => one.instanceId === instanceId);
      if (instance) void this.begin(instance, wave);
    });
    if (plan.begin.length === 0) return;
    this.deps.logger.info('upkeep-chosen', {
      waveId: wave.waveId,
      begin: plan.begin,
      down,
      mostAtOnce: wave.mostAtOnce,
      listAgeMs: Math.round(this.deps.orders.listAgeMs),
    });
  }

  private candidateOf(instance: FleetInstance): UpkeepCandidate {
    const target = this.deps.targets.get(instance.targetId);
    const isSpare = this.deps.isSpare(instance.poolId);
    return {
      instanceId: instance.instanceId,
      poolId: instance.poolId,
      isEmpty: isSpare || (target?.isReserved === true && target.runs.size === 0),
      isReserved: this.reserved.has(instance.instanceId),
      isUnavailable: instance.state !== 'up' || this.deps.orders.isBlocked(instance.instanceId),
      runCount: target?.runs.size ?? 0,
      isSpare,
    };
  }

  /** Closes a reserved instance to new tasks and moves its long-running tasks away. */
  private drain(instance: FleetInstance): void {
    if (!this.reserved.has(instance.instanceId)) return;
    const target = this.deps.targets.get(instance.targetId);
    if (!target) return;
    target.isReserved = true;
    if (!this.deps.relocator.moveAway(target)) this.poolsLackingRoom.add(target.poolId);
  }

  /** Instances of the wave that are, or may be, down for upkeep. */
  private downOf(wave: UpkeepWave): string[] {
    const { orders } = this.deps;
    return orders.instances
      .filter(({ instanceId, state }) => {
        if (!wave.instanceIds.includes(instanceId)) return false;
        return state === 'upkeep' || orders.mayBeInUpkeep(instanceId);
      })
      .map(({ instanceId }) => instanceId);
  }

  private async begin(instance: FleetInstance, { waveId }: UpkeepWave): Promise<void> {
    const { instanceId } = instance;
    const outcome = await this.deps.orders.upkeep(instance, waveId);
    // The platform refuses an `invalid` order for good, so it is not retried.
    if (outcome !== 'accepted' && outcome !== 'invalid') return;
    this.begunOf(waveId).add(instanceId);
    this.reserved.delete(instanceId);
    this.journal(waveId);
  }

  private begunOf(waveId: number): Set<string> {
    const known = this.begun.get(waveId);
    if (known) return known;
    const created = new Set<string>();
    this.begun.set(waveId, created);
    return created;
  }

  private journal(waveId: number): void {
    void this.deps.ownership.writer.write(`${WAVE_PREFIX}${waveId}`, () =>
      Buffer.from(JSON.stringify([...this.begunOf(waveId)])),
    );
  }

  private async publish(waveId: number, state: 'running' | 'completed'): Promise<void> {
    const former = this.published.get(waveId);
    this.published.set(waveId, state);
    const done = await this.deps.reports.publish(waveId, state);
    if (done.isOk()) {
      this.deps.logger.info('wave-state', { waveId, state });
      return;
    }
    this.deps.logger.warn('wave-state-unpublished', { waveId, state, reason: done.error.kind });
    if (former) this.published.set(waveId, former);
    else this.published.delete(waveId);
  }
}
