/**
 * Simulates entries, the store and targets in virtual time, with callers that submit jobs and query
 * their state. Time advances only through `run` and `runUntil`.
 */
import {
  RunObserver,
  SimulatedFleet,
  SimulatedStore,
  SimulatedTarget,
  type SimulatedTargetOptions,
} from '@acaciadock/coordinator/testing';
import {
  type CallContext,
  type JobReply,
  OVERLOADED,
  type UpkeepWave,
} from '@acaciadock/coordinator';
import { type Logger, ManualClock, Random, SilentLogger } from '@acaciadock/core';
import {
  type JobSchedule,
  jobsConfigSchema,
  JobsConfigView,
  jobSpecSchema,
  type stepSpecSchema,
} from '@acaciadock/jobs';
import { type z } from 'zod';
import { MAX_LEASE_MS, SimulatedEntry } from './SimulatedEntry.js';

const STEP_MS = 5;
const FLUSHES_PER_STEP = 4;

export interface JobWorldOptions {
  readonly seed: number;
  readonly entryCount: number;
  readonly targetCount: number;
  /** Number of targets in each rack; 0 means that all are in one. */
  readonly targetsPerRack: number;
  readonly runtimeMs: number;
  /** Longest lease that a target grants, on its own clock. */
  readonly maxLeaseMs: number;
  /** Rate of the clocks of targets relative to real time. */
  readonly clockRate: number;
  /** Length of the checkpoints that runs produce; 0 if they produce none. */
  readonly checkpointCharacters: number;
  readonly failShare: number;
  readonly maxAttempts: number;
  /** Number of instances that run targets. 0 means no fleet, only `targetCount` fixed targets. */
  readonly instanceCount: number;
  readonly spareCount: number;
  /** Pools beside the usual one, each with a queue and `instanceCount` instances of its own. */
  readonly otherPoolIds: readonly string[];
  /** Those of the other pools whose queue accepts calls without a key. */
  readonly publicPoolIds: readonly string[];
  /** Orders to instances that the platform accepts in a second. */
  readonly ordersPerS: number;
  /** CPU limit of the team over all targets, in thousandths of a core; 0 means no limit. */
  readonly teamLimitCpuMilli: number;
  /** Weights of the teams by id. */
  readonly weights: Readonly<Record<string, number>>;
  readonly refusesOverload: boolean;
  /** Number of zones over which targets and instances are spread in turn: `z0`, `z1` and so on. */
  readonly zoneCount: number;
  /** Bound on starts in an evacuated zone, in milliseconds; undefined if there is none. */
  readonly evacuateMs: number | undefined;
  /** CPU of every task, if the targets are to record starts beyond their capacity. */
  readonly taskCpuMilli?: number;
  /** Share of the time in which the event loop of each entry counts as busy. */
  readonly ownerBusyShare: number;
  /** Whether other entries relay the calls of a busy owner to targets. */
  readonly hasRelays: boolean;
  /** Time that a message between the owner and a relay takes. */
  readonly relayLatencyMs: number;
  readonly logger: Logger;
}

export const DEFAULT_WORLD: JobWorldOptions = {
  seed: 1,
  entryCount: 3,
  targetCount: 4,
  targetsPerRack: 0,
  runtimeMs: 600,
  maxLeaseMs: MAX_LEASE_MS,
  clockRate: 1,
  checkpointCharacters: 0,
  failShare: 0,
  maxAttempts: 3,
  instanceCount: 0,
  spareCount: 0,
  otherPoolIds: [],
  publicPoolIds: [],
  ordersPerS: 64,
  teamLimitCpuMilli: 0,
  weights: { team: 1 },
  refusesOverload: true,
  zoneCount: 1,
  evacuateMs: undefined,
  ownerBusyShare: 0,
  hasRelays: false,
  relayLatencyMs: 2,
  logger: new SilentLogger(),
};

/** The team that calls, empty without a key, and the pool of the called queue if it is not the default one. */
export interface JobOrigin {
  readonly teamId?: string | undefined;
  readonly otherPoolId?: string | undefined;
}

/** A job as callers submit it; fields with defaults may be omitted. */
export interface JobInput {
  readonly spec?: string;
  readonly steps: readonly z.input<typeof stepSpecSchema>[];
  readonly schedule?: JobSchedule;
}

const ENTRY_CPU_MILLI = 675;

const POOL_ID = 'pool';
const SPARE_POOL_ID = 'spare';
const QUEUE_ID = 'queue';

export class JobWorld {
  readonly clock = new ManualClock();

  readonly random: Random;

  readonly store: SimulatedStore;

  readonly observer: RunObserver;

  readonly targets = new Map<string, SimulatedTarget>();

  readonly entries = new Map<string, SimulatedEntry>();

  /** Jobs whose acceptance was reported to a caller. */
  readonly accepted = new Set<string>();

  /** Jobs that were refused because of load; a submitted job is accepted only if it is repeated. */
  readonly refused = new Set<string>();

  readonly config: JobsConfigView;

  readonly fleet: SimulatedFleet | undefined;

  readonly ordersPerS: number;

  readonly maxLeaseMs: number;

  readonly evacuateMs: number | undefined;

  readonly refusesOverload: boolean;

  readonly ownerBusyShare: number;

  readonly hasRelays: boolean;

  readonly relayLatencyMs: number;

  /** Upkeep waves that the operator has published. */
  readonly waves: UpkeepWave[] = [];

  /** Zones under evacuation, with the time of each request. */
  readonly evacuatedZones = new Map<string, number>();

  readonly logger: Logger;

  constructor(readonly options: JobWorldOptions) {
    this.logger = options.logger;
    this.random = new Random(options.seed);
    this.ordersPerS = options.ordersPerS;
    this.maxLeaseMs = options.maxLeaseMs;
    this.evacuateMs = options.evacuateMs;
    this.refusesOverload = options.refusesOverload;
    this.ownerBusyShare = options.ownerBusyShare;
    this.hasRelays = options.hasRelays;
    this.relayLatencyMs = options.relayLatencyMs;
    this.store = new SimulatedStore(this.clock, this.random);
    this.observer = new RunObserver(options.maxAttempts);
    this.config = new JobsConfigView(
      jobsConfigSchema.parse({
        version: 1,
        queues: [
          {
            queueId: QUEUE_ID,
            host: 'h',
            pathPrefix: '/',
            poolId: POOL_ID,
            maxAttempts: options.maxAttempts,
            stretch: 2,
          },
          ...options.otherPoolIds.map((poolId) => ({
            queueId: `${QUEUE_ID}-${poolId}`,
            host: 'h',
            pathPrefix: `/${poolId}`,
            poolId,
            isPublic: options.publicPoolIds.includes(poolId),
            maxAttempts: options.maxAttempts,
            stretch: 2,
          })),
        ],
        pools: [
          { poolId: POOL_ID, rejectsOverload: true },
          ...options.otherPoolIds.map((poolId) => ({ poolId, rejectsOverload: true })),
          { poolId: SPARE_POOL_ID, isSpare: true },
        ],
        teams: Object.entries(options.weights).map(([teamId, weight]) => ({
          teamId,
          weight,
          keys: [`key-${teamId}`],
          limit: { cpuMilli: options.teamLimitCpuMilli },
        })),
      }),
    );
    this.fleet = options.instanceCount > 0 ? this.createFleet() : undefined;
    for (let index = 0; index < options.targetCount; index += 1)
      this.addTarget(`t${index}`, this.zoneOf(index), this.rackOf(index));
    for (let index = 0; index < options.entryCount; index += 1) this.startEntry(`e${index}`);
  }

  get owner(): SimulatedEntry | undefined {
    return [...this.entries.values()].find((entry) => entry.isOwner);
  }

  /** Number of runs on all targets that are up. */
  get runningCount(): number {
    return [...this.targets.values()].reduce((sum, target) => sum + target.runningCount, 0);
  }

  startEntry(entryId: string, cpuMilli = ENTRY_CPU_MILLI): SimulatedEntry {
    const entry = new SimulatedEntry(entryId, this, cpuMilli);
    this.entries.set(entryId, entry);
    return entry;
  }

  /** Kills the entry's process; a new one may be started under the same id. */
  killEntry(entryId: string): void {
    this.entries.get(entryId)?.kill();
    this.entries.delete(entryId);
  }

  async run(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await JobWorld.flush();
    }
  }

  /** Runs until the condition holds; false if it does not within `maxMs`. */
  async runUntil(condition: () => boolean, maxMs: number): Promise<boolean> {
    for (let elapsedMs = 0; elapsedMs < maxMs; elapsedMs += STEP_MS) {
      if (condition()) return true;
      await this.run(STEP_MS);
    }
    return condition();
  }

  /** Submits a job to the owner, if there is one, and records whether it was accepted. */
  async submit(jobId: string, spec: JobInput, otherPoolId?: string): Promise<void> {
    const reply = await this.call(jobId, spec, { otherPoolId });
    if (reply?.kind === 'accepted') this.accepted.add(jobId);
    if (reply?.kind === 'refused' && reply.reason === OVERLOADED) this.refused.add(jobId);
  }

  /** Submits a job to the owner; undefined if there is none. */
  call(jobId: string, spec: JobInput, origin: JobOrigin = {}): Promise<JobReply> | undefined {
    spec.steps.forEach(({ speculative, gang }, index) => {
      if (speculative) this.observer.permitCopies(`${jobId}.0.${index}`);
      if (gang) this.observer.recordGang(`${jobId}.0.${index}`);
    });
    return this.entries.get(this.ownerId() ?? '')?.call({
      kind: 'submit' as const,
      context: JobWorld.context(origin),
      jobId,
      spec: jobSpecSchema.parse({ spec: '', ...spec }),
    });
  }

  stateOf(jobId: string, origin: JobOrigin = {}): Promise<JobReply> | undefined {
    return this.owner?.call({ kind: 'state', context: JobWorld.context(origin), jobId });
  }

  cancel(jobId: string, origin: JobOrigin = {}): Promise<JobReply> | undefined {
    return this.owner?.call({ kind: 'cancel', context: JobWorld.context(origin), jobId });
  }

  ownerId(): string | undefined {
    return [...this.entries].find(([, entry]) => entry.isOwner && !entry.clock.isPaused)?.[0];
  }

  evacuate(zoneId: string): void {
    this.evacuatedZones.set(zoneId, this.clock.monotonicMs());
  }

  withdrawEvacuation(zoneId: string): void {
    this.evacuatedZones.delete(zoneId);
  }

  private zoneOf(index: number): string {
    return `z${index % this.options.zoneCount}`;
  }

  private createFleet(): SimulatedFleet {
    const { instanceCount, spareCount, otherPoolIds } = this.options;
    const { clock, random, observer, targets } = this;
    const options = this.targetOptions();
    const sparePoolId = SPARE_POOL_ID;
    const fleet = new SimulatedFleet({ clock, random, observer, targets, options, sparePoolId });
    for (let index = 0; index < instanceCount; index += 1)
      fleet.add(`m${index}`, POOL_ID, this.zoneOf(index));
    otherPoolIds.forEach((poolId) => {
      for (let index = 0; index < instanceCount; index += 1)
        fleet.add(`${poolId}-${index}`, poolId, this.zoneOf(index));
    });
    for (let index = 0; index < spareCount; index += 1)
      fleet.add(`s${index}`, SPARE_POOL_ID, this.zoneOf(index));
    return fleet;
  }

  private targetOptions(): SimulatedTargetOptions {
    const { runtimeMs, maxLeaseMs, failShare, taskCpuMilli } = this.options;
    const common = { maxLeaseMs, cpuMilli: 4_000, runtimeMs, failShare };
    return taskCpuMilli === undefined ? common : { ...common, taskCpuMilli };
  }

  private rackOf(index: number): string {
    const { targetsPerRack } = this.options;
    return targetsPerRack > 0 ? `r${Math.floor(index / targetsPerRack)}` : 'r';
  }

  addTarget(targetId: string, zoneId: string, rackId = 'r'): void {
    const target = new SimulatedTarget(
      targetId,
      POOL_ID,
      { ...this.targetOptions(), zoneId, rackId },
      this.clock,
      this.random,
      this.observer,
    );
    const { clockRate, checkpointCharacters } = this.options;
    Object.assign(target, { clockRate, checkpointCharacters });
    this.targets.set(targetId, target);
  }

  static context({ teamId = 'team', otherPoolId }: JobOrigin = {}): CallContext {
    return {
      access: { host: 'h', path: '/', key: `key-${teamId}` },
      configVersion: 1,
      queueId: otherPoolId === undefined ? QUEUE_ID : `${QUEUE_ID}-${otherPoolId}`,
      poolId: otherPoolId ?? POOL_ID,
      teamId,
      priority: 0,
      maxAttempts: 3,
      stretch: 2,
      targetLatencyMs: 500,
    };
  }

  /** Lets pending promises and immediates run. */
  private static async flush(): Promise<void> {
    for (let count = 0; count < FLUSHES_PER_STEP; count += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}
