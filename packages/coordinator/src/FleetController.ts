/**
 * Control loop of the fleet while this entry owns the journal. Each round refreshes the list of
 * instances, advances upkeep waves and adjusts the sizes of pools.
 */
import { type Clock, Disposable, type Logger, type WorkMeter } from '@acaciadock/core';
import { type JobsConfigView } from '@acaciadock/jobs';
import { type PoolRoom } from '@acaciadock/placement';
import { type InstanceFleet, type UpkeepWave, type WaveReports } from './contracts/index.js';
import { type CrashHandler } from './CrashHandler.js';
import { type DemandMeter } from './DemandMeter.js';
import { DUTY_KEY, FleetOrders, type FleetOrdersOptions } from './FleetOrders.js';
import { type Ownership } from './Ownership.js';
import { PoolController } from './PoolController.js';
import { ReplacementMonitor } from './ReplacementMonitor.js';
import { type TargetTable } from './TargetTable.js';
import { type TaskRelocator } from './TaskRelocator.js';
import { UpkeepController } from './UpkeepController.js';
import { type ZoneEvacuation } from './ZoneEvacuation.js';

/** Interval of the control loop, in milliseconds. */
const PERIOD_MS = 150;

export type FleetControllerOptions = FleetOrdersOptions;

export interface FleetControllerDeps {
  readonly fleet: InstanceFleet;
  readonly reports: WaveReports;
  readonly waves: () => readonly UpkeepWave[];
  readonly targets: TargetTable;
  readonly crashes: CrashHandler;
  readonly relocator: TaskRelocator;
  readonly evacuation: ZoneEvacuation;
  /** Whether a long-running task can't leave an evacuated zone for another target of the pool. */
  readonly evacuationLacksRoom: (poolId: string) => boolean;
  readonly demand: DemandMeter;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
  readonly meter: WorkMeter;
}

export class FleetController extends Disposable {
  private readonly orders: FleetOrders;

  private readonly upkeep: UpkeepController;

  private readonly pools: PoolController;

  constructor(
    options: FleetControllerOptions,
    private readonly deps: FleetControllerDeps,
  ) {
    super();
    this.orders = this.register(new FleetOrders(options, deps));
    const replacements = new ReplacementMonitor(deps.targets, deps.crashes);
    this.register(
      this.orders.onListed((listed) => {
        replacements.compare(listed, this.orders.listRequestedMs);
      }),
    );
    this.upkeep = this.register(
      new UpkeepController(options.upkeepMs, {
        ...deps,
        orders: this.orders,
        isSpare: (poolId) => this.pools.isSpare(poolId),
        pressures: () => this.pools.pressures(),
      }),
    );
    this.pools = this.register(
      new PoolController({
        ...deps,
        orders: this.orders,
        isReservedForUpkeep: (instanceId) => this.upkeep.isReserved(instanceId),
        relocationLacksRoom: (poolId) =>
          this.upkeep.lacksRoom(poolId) || deps.evacuationLacksRoom(poolId),
      }),
    );
  }

  /** Whether orders to instances are pending. */
  get hasOrders(): boolean {
    return this.orders.hasOrders;
  }

  /** The room that the pool has or can get; undefined until the instances are known. */
  roomOf(poolId: string): PoolRoom | undefined {
    return this.pools.roomOf(poolId);
  }

  /** Restores a journaled record if it is about the fleet; ignores any other. */
  restore(key: string, value: Buffer): void {
    if (key === DUTY_KEY) {
      this.orders.restore(value);
      return;
    }
    if (this.pools.restore(key, value)) return;
    this.upkeep.restore(key, value);
  }

  async run(): Promise<void> {
    while (this.orders.isActive) {
      await this.round();
      await this.deps.clock.sleep(PERIOD_MS);
    }
  }

  private async round(): Promise<void> {
    await this.orders.refresh();
    if (!this.orders.mayOrder) return;
    this.orders.refreshDuty();
    const { meter, waves } = this.deps;
    meter.measure('upkeep', () => this.upkeep.reconcile(waves()));
    meter.measure('pool-sizes', () => this.pools.reconcile());
  }
}
