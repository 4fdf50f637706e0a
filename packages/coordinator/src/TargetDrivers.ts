/** Follows the target registry and keeps one driver for each target from listing to removal. */
import { type Clock, Disposable, type Logger, type WorkMeter } from '@acaciadock/core';
import { type TargetPort } from '@acaciadock/execution';
import { type TargetRegistry } from './contracts/index.js';
import { type CrashHandler } from './CrashHandler.js';
import { type FleetTarget } from './FleetTarget.js';
import { type LiveRun } from './LiveRun.js';
import { type LoadMeter } from './LoadMeter.js';
import { type Ownership } from './Ownership.js';
import { type ReportProcessor } from './ReportProcessor.js';
import { type RunTracker } from './RunTracker.js';
import { StartLimiter } from './StartLimiter.js';
import { TargetDriver } from './TargetDriver.js';
import { type TargetTable } from './TargetTable.js';

/** Polling interval of the target registry, in milliseconds: well under a heartbeat. */
const REGISTRY_PERIOD_MS = 300;

/** Polling interval while orders to instances are pending, in milliseconds. */
const PENDING_ORDER_REGISTRY_PERIOD_MS = 100;

export interface TargetDriversDeps {
  readonly registry: TargetRegistry;
  readonly port: TargetPort;
  readonly targets: TargetTable;
  readonly runTracker: RunTracker;
  readonly reportProcessor: ReportProcessor;
  readonly crashes: CrashHandler;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when the target has answered and accepts new tasks from now on. */
  readonly onConfirmed: (target: FleetTarget) => void;
  readonly areInstancesMoving: () => boolean;
  readonly meter: WorkMeter;
  readonly load: LoadMeter;
}

export class TargetDrivers extends Disposable {
  private readonly drivers = new Map<string, TargetDriver>();

  private readonly starts = this.register(new StartLimiter());

  constructor(private readonly deps: TargetDriversDeps) {
    super();
    const { targets, runTracker } = deps;
    this.register(targets.onListed((target) => this.onListed(target)));
    this.register(targets.onDraining((target) => this.onDraining(target)));
    this.register(targets.onRemoved((target) => this.onRemoved(target)));
    this.register(
      runTracker.onPlanned((live) => this.drivers.get(live.targetId)?.prepareStart(live)),
    );
    this.register(
      runTracker.onStopWanted((live) => {
        void this.drivers.get(live.targetId)?.stop(live);
      }),
    );
  }

  /** Sends the start order of a durable run. */
  order(live: LiveRun): void {
    const driver = this.drivers.get(live.targetId);
    if (driver) void this.starts.run(live.targetId, () => driver.start(live));
    else this.deps.runTracker.stop(live);
  }

  private onListed(target: FleetTarget): void {
    const known = this.drivers.get(target.targetId);
    if (known) {
      known.wake();
      return;
    }
    const driver = new TargetDriver(target, {
      port: this.deps.port,
      runTracker: this.deps.runTracker,
      reportProcessor: this.deps.reportProcessor,
      crashes: this.deps.crashes,
      ownership: this.deps.ownership,
      clock: this.deps.clock,
      logger: this.deps.logger,
      meter: this.deps.meter,
      load: this.deps.load,
      onConfirmed: () => this.deps.onConfirmed(target),
    });
    this.drivers.set(target.targetId, this.register(driver));
    void driver.run();
    // Runs that were adopted from a previous owner may have been stopped before their target was listed.
    target.runs.forEach((live) => {
      if (live.phase === 'stopping') void driver.stop(live);
    });
  }

  private onRemoved({ targetId, address }: FleetTarget): void {
    this.drivers.get(targetId)?.dispose();
    this.drivers.delete(targetId);
    this.starts.forget(targetId);
    this.deps.port.forget(address);
  }

  /** Stops long-running tasks on a draining target at once; all others may finish there. */
  private onDraining(target: FleetTarget): void {
    this.deps.logger.info('target-draining', {
      targetId: target.targetId,
      runs: target.runs.size,
      remainingMs: target.entry?.remainingMs,
    });
    [...target.runs.values()]
      .filter((live) => live.place.step.spec.longRunning)
      .forEach((live) => this.deps.runTracker.stop(live));
  }

  /** Polls the target registry until disposed. */
  async followRegistry(): Promise<void> {
    const { registry, clock, logger, meter } = this.deps;
    let lost = false;
    while (!this.isDisposed) {
      const entries = await registry.list();
      if (this.isDisposed) return;
      if (entries.isOk()) meter.measure('registry', () => this.deps.targets.update(entries.value));
      if (entries.isErr() !== lost) {
        lost = entries.isErr();
        logger.warn(lost ? 'registry-lost' : 'registry-back', {
          reason: entries.isErr() ? entries.error.kind : '',
        });
      }
      const hasPendingOrders = this.deps.areInstancesMoving();
      await clock.sleep(hasPendingOrders ? PENDING_ORDER_REGISTRY_PERIOD_MS : REGISTRY_PERIOD_MS);
    }
  }
}
