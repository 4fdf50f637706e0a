/**
 * The task that looks after the fleet while this entry owns the journal: in each round it takes
 * up the list of instances, works on waves of upkeep, and sizes pools.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { type JobsConfigView } from '@acaciadock/jobs';
import { type InstanceFleet, type UpkeepWave, type WaveReports } from './contracts/index.js';
import { type DemandMeter } from './DemandMeter.js';
import { DUTY_KEY, type DutyRecord, FleetOrders, type FleetOrdersOptions } from './FleetOrders.js';
import { type Ownership } from './Ownership.js';
import { PoolSteward } from './PoolSteward.js';
import { type RunBook } from './RunBook.js';
import { type TargetTable } from './TargetTable.js';
import { UpkeepSteward } from './UpkeepSteward.js';

/** Between two looks at pools and waves, in milliseconds. */
const PERIOD_MS = 150;

export type FleetStewardOptions = FleetOrdersOptions;

export interface FleetStewardDeps {
  readonly fleet: InstanceFleet;
  readonly reports: WaveReports;
  readonly waves: () => readonly UpkeepWave[];
  readonly targets: TargetTable;
  readonly book: RunBook;
  readonly demand: DemandMeter;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
}

export class FleetSteward extends Disposable {
  private readonly orders: FleetOrders;

  private readonly upkeep: UpkeepSteward;

  private readonly pools: PoolSteward;

  constructor(
    options: FleetStewardOptions,
    private readonly deps: FleetStewardDeps,
  ) {
    super();
    this.orders = this.register(new FleetOrders(options, deps));
    this.upkeep = this.register(
      new UpkeepSteward(options.upkeepMs, {
        ...deps,
        orders: this.orders,
        isSpare: (poolId) => this.pools.isSpare(poolId),
        pressures: () => this.pools.pressures(),
      }),
    );
    this.pools = this.register(
      new PoolSteward({
        ...deps,
        orders: this.orders,
        isReservedForUpkeep: (instanceId) => this.upkeep.isReserved(instanceId),
        upkeepLacksRoom: (poolId) => this.upkeep.lacksRoom(poolId),
      }),
    );
  }

  /** Whether instances are on their way. */
  get hasOrders(): boolean {
    return this.orders.hasOrders;
  }

  /** Takes up a journaled record if it is about the fleet. */
  restore(key: string, value: Buffer): void {
    if (key === DUTY_KEY) {
      this.orders.restoreDuty(JSON.parse(value.toString('utf8')) as DutyRecord);
      return;
    }
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
    this.upkeep.work(this.deps.waves());
    this.pools.work();
  }
}
