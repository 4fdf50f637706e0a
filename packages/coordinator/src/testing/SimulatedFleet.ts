/**
 * Simulates the platform's instances in virtual time. Moves and upkeep terminate everything that
 * runs on an instance.
 */
import { type ManualClock, type Random } from '@acaciadock/core';
import { err, ok, type Result } from 'neverthrow';
import {
  type Duty,
  type FleetFailure,
  type FleetInstance,
  InstanceFleet,
  type InstanceState,
} from '../contracts/index.js';
import { type RunObserver } from './RunObserver.js';
import { SimulatedTarget, type SimulatedTargetOptions } from './SimulatedTarget.js';

const MOVE_MS = 1_500;
const UPKEEP_MS = 2_000;

/** Time until the registry drops a target that is silent, from its replacement on. */
const UNLISTED_AFTER_MS = 1_500;

interface Instance {
  readonly instanceId: string;
  readonly zoneId: string;
  poolId: string;
  state: InstanceState;
  targetId: string;
}

export interface SimulatedFleetDeps {
  readonly clock: ManualClock;
  readonly random: Random;
  readonly observer: RunObserver;
  readonly targets: Map<string, SimulatedTarget>;
  readonly options: SimulatedTargetOptions;
  /** Pool whose instances run no target. */
  readonly sparePoolId: string;
}

export class SimulatedFleet extends InstanceFleet {
  /** Instances that received an upkeep order, in order. */
  readonly upkeeps: string[] = [];

  /** Fencing tokens of all orders that have arrived, in order. */
  readonly tokens: number[] = [];

  moves = 0;

  /** Maximum number of instances that were down for upkeep at the same time. */
  maxDown = 0;

  private readonly instances = new Map<string, Instance>();

  private bootCount = 0;

  constructor(private readonly deps: SimulatedFleetDeps) {
    super();
  }

  add(instanceId: string, poolId: string, zoneId = 'z'): void {
    const instance: Instance = { instanceId, zoneId, poolId, state: 'up', targetId: '' };
    this.instances.set(instanceId, instance);
    this.boot(instance);
  }

  /** Number of instances that are in the pool or are moving to it. */
  countIn(poolId: string): number {
    return [...this.instances.values()].filter((one) => one.poolId === poolId).length;
  }

  /** The zone of each instance that is in the pool or is moving to it. */
  zonesIn(poolId: string): string[] {
    return [...this.instances.values()]
      .filter((one) => one.poolId === poolId)
      .map(({ zoneId }) => zoneId);
  }

  override list(): Promise<Result<readonly FleetInstance[], FleetFailure>> {
    const { cpuMilli } = this.deps.options;
    const listed = [...this.instances.values()].map((instance) => ({
      ...instance,
      state: this.stateOf(instance),
      rackId: 'r',
      labels: ['a', 'r'],
      capacity: { cpuMilli, memoryMb: 64_000, gpuCount: 0 },
    }));
    return Promise.resolve(ok(listed));
  }

  override move(
    instanceId: string,
    poolId: string,
    duty: Duty,
  ): Promise<Result<void, FleetFailure>> {
    this.moves += 1;
    return this.takeDown(instanceId, 'moving', MOVE_MS, duty, poolId);
  }

  override upkeep(
    instanceId: string,
    _waveId: number,
    duty: Duty,
  ): Promise<Result<void, FleetFailure>> {
    this.upkeeps.push(instanceId);
    return this.takeDown(instanceId, 'upkeep', UPKEEP_MS, duty);
  }

  /** An instance is down while the process of its target is. */
  private stateOf({ state, targetId }: Instance): InstanceState {
    const isDown = state === 'up' && this.deps.targets.get(targetId)?.isUp === false;
    return isDown ? 'down' : state;
  }

  private takeDown(
    instanceId: string,
    state: InstanceState,
    durationMs: number,
    { fencingToken }: Duty,
    poolId?: string,
  ): Promise<Result<void, FleetFailure>> {
    this.tokens.push(fencingToken);
    const instance = this.instances.get(instanceId);
    if (instance?.state !== 'up') return Promise.resolve(err({ kind: 'busy', detail: instanceId }));
    instance.state = state;
    const target = this.deps.targets.get(instance.targetId);
    target?.crash();
    if (target) target.isListed = false;
    instance.poolId = poolId ?? instance.poolId;
    const down = [...this.instances.values()].filter((one) => one.state === 'upkeep').length;
    this.maxDown = Math.max(this.maxDown, down);
    this.deps.clock.after(durationMs, () => {
      instance.state = 'up';
      this.boot(instance);
    });
    return Promise.resolve(ok(undefined));
  }

  private boot(instance: Instance): void {
    const { clock, random, observer, targets, sparePoolId } = this.deps;
    const options = { ...this.deps.options, zoneId: instance.zoneId };
    if (instance.poolId === sparePoolId) {
      Object.assign(instance, { targetId: '' });
      return;
    }
    this.bootCount += 1;
    const targetId = `${instance.instanceId}-${this.bootCount}`;
    Object.assign(instance, { targetId });
    const target = new SimulatedTarget(targetId, instance.poolId, options, clock, random, observer);
    // Another target takes the place of one that crashed; the registry lists that one a while longer.
    target.recover = () => {
      clock.after(UNLISTED_AFTER_MS, () => Object.assign(target, { isListed: false }));
      if (instance.state === 'up' && instance.targetId === targetId) this.boot(instance);
    };
    targets.set(targetId, target);
  }
}
