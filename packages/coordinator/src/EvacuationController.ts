/**
 * Carries out the evacuation of zones: moves long-running tasks away and reports what is left. Other
 * runs in the zone continue to their end; `FleetTarget.isOpen` keeps new ones out.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { type FleetTarget } from './FleetTarget.js';
import { type TargetTable } from './TargetTable.js';
import { type TaskRelocator } from './TaskRelocator.js';
import { type ZoneEvacuation } from './ZoneEvacuation.js';

/** Interval of the rounds, in milliseconds: the same as that of the fleet's control loop. */
const PERIOD_MS = 150;

const MS_PER_S = 1_000;

export interface EvacuationControllerDeps {
  readonly evacuation: ZoneEvacuation;
  readonly targets: TargetTable;
  readonly relocator: TaskRelocator;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** What a round found in a zone. */
interface ZoneContent {
  readonly targets: number;
  readonly runs: number;
}

export class EvacuationController extends Disposable {
  /** Zones whose request has been logged, and whether no run was left in them at some time. */
  private readonly zones = new Map<string, { isEmptied: boolean }>();

  /** Pools in which a long-running task can't leave its zone because no other target has room. */
  private poolsLackingRoom = new Set<string>();

  private areAllZonesEvacuated = false;

  private reported = { zones: 0, runs: 0 };

  constructor(private readonly deps: EvacuationControllerDeps) {
    super();
    this.register(deps.clock.every(PERIOD_MS, () => this.reconcile()));
    // The next owner reports for the zones from now on.
    this.register({ dispose: () => this.report(0, 0) });
  }

  /** Whether a long-running task must leave its zone but no other target of the pool has room. */
  lacksRoom(poolId: string): boolean {
    return this.poolsLackingRoom.has(poolId);
  }

  private reconcile(): void {
    const requested = this.deps.evacuation.zones;
    const isIdle = requested.size === 0 && this.zones.size === 0;
    if (isIdle || !this.deps.targets.isListed) return;
    this.zones.forEach((_, zoneId) => {
      if (!requested.has(zoneId)) this.end(zoneId);
    });
    let runs = 0;
    requested.forEach((_, zoneId) => {
      const content = this.contentOf(zoneId);
      this.observe(zoneId, content);
      runs += content.runs;
    });
    this.moveLongRunning();
    this.noteAllEvacuated();
    this.report(requested.size, runs);
  }

  /** Counts the zone's targets and runs. A run on a target without registration may be in it. */
  private contentOf(zoneId: string): ZoneContent {
    const possible = [...this.deps.targets.all].filter(
      (target) => target.entry === undefined || target.zoneId === zoneId,
    );
    return {
      targets: possible.filter((target) => target.entry !== undefined).length,
      runs: possible.reduce((sum, target) => sum + target.runs.size, 0),
    };
  }

  private observe(zoneId: string, { targets, runs }: ZoneContent): void {
    const { evacuation, clock, logger } = this.deps;
    const zone = this.zones.get(zoneId) ?? { isEmptied: false };
    if (!this.zones.has(zoneId)) {
      this.zones.set(zoneId, zone);
      logger.info('zone-evacuation-requested', { zoneId, targets, runs });
      if (targets === 0) logger.warn('evacuated-zone-without-targets', { zoneId });
    }
    if (zone.isEmptied || runs > 0) return;
    zone.isEmptied = true;
    const tookMs = clock.monotonicMs() - (evacuation.zones.get(zoneId) ?? 0);
    logger.info('zone-evacuated', { zoneId, seconds: Math.round(tookMs) / MS_PER_S });
  }

  private end(zoneId: string): void {
    this.zones.delete(zoneId);
    this.deps.logger.info('zone-evacuation-ended', { zoneId });
  }

  private moveLongRunning(): void {
    const former = this.poolsLackingRoom;
    this.poolsLackingRoom = new Set();
    for (const target of this.deps.targets.all) {
      if (this.isLeft(target)) this.poolsLackingRoom.add(target.poolId);
    }
    this.poolsLackingRoom.forEach((poolId) => {
      if (!former.has(poolId)) this.deps.logger.info('evacuation-lacks-room', { poolId });
    });
  }

  /** Moves the long-running tasks of an evacuated target; true if one lacks room elsewhere. */
  private isLeft(target: FleetTarget): boolean {
    if (target.longRunningCount === 0 || !target.isEvacuated) return false;
    return !this.deps.relocator.moveAway(target);
  }

  private noteAllEvacuated(): void {
    const listed = [...this.deps.targets.all].filter((target) => target.isListed);
    const areAll = listed.length > 0 && listed.every((target) => target.isEvacuated);
    if (areAll && !this.areAllZonesEvacuated) {
      this.deps.logger.warn('all-zones-evacuated', { targets: listed.length });
    }
    this.areAllZonesEvacuated = areAll;
  }

  /** Logs the values of the metrics when they have changed. */
  private report(zones: number, runs: number): void {
    if (zones === this.reported.zones && runs === this.reported.runs) return;
    this.reported = { zones, runs };
    this.deps.logger.debug('zone-evacuation-progress', this.reported);
  }
}
