/** All targets that are registered or may still have runs. */
import { Disposable, EventEmitter } from '@acaciadock/core';
import { type RegistryEntry } from './contracts/index.js';
import { FleetTarget } from './FleetTarget.js';
import { type ZoneEvacuation } from './ZoneEvacuation.js';

export interface TargetTableOptions {
  readonly maxLeaseMs: number;
  /** Monotonic time by which every lease granted by a previous owner has expired. */
  readonly inheritedUntilMs: number;
  readonly evacuation: ZoneEvacuation;
}

export class TargetTable extends Disposable {
  private readonly targets = new Map<string, FleetTarget>();

  private readonly listedEmitter = this.register(new EventEmitter<FleetTarget>());

  /** Fires when a listing contains a new target or one that has yet to confirm this owner. */
  readonly onListed = this.listedEmitter.event;

  private readonly drainingEmitter = this.register(new EventEmitter<FleetTarget>());

  /** Fires when a target starts to drain. */
  readonly onDraining = this.drainingEmitter.event;

  private readonly removedEmitter = this.register(new EventEmitter<FleetTarget>());

  /** Fires when a target is no longer listed and has no runs. */
  readonly onRemoved = this.removedEmitter.event;

  private listed = false;

  private inheritedUntilMs: number;

  constructor(private readonly options: TargetTableOptions) {
    super();
    this.inheritedUntilMs = options.inheritedUntilMs;
  }

  /** Lowers the upper bound on the expiry of leases that previous owners granted. */
  boundInherited(untilMs: number): void {
    this.inheritedUntilMs = Math.min(this.inheritedUntilMs, untilMs);
    this.targets.forEach(({ lease }) => lease.limitInheritedLeases(untilMs));
  }

  /** Whether the registry list has been read at least once. */
  get isListed(): boolean {
    return this.listed;
  }

  get all(): IterableIterator<FleetTarget> {
    return this.targets.values();
  }

  get(targetId: string): FleetTarget | undefined {
    return this.targets.get(targetId);
  }

  ofPool(poolId: string): FleetTarget[] {
    return [...this.targets.values()].filter((target) => target.poolId === poolId);
  }

  /** Returns the target with this id; adds it if it is not in the table. */
  ensure(targetId: string): FleetTarget {
    const known = this.targets.get(targetId);
    if (known) return known;
    const { maxLeaseMs, evacuation } = this.options;
    const target = new FleetTarget(targetId, maxLeaseMs, this.inheritedUntilMs, evacuation);
    this.targets.set(targetId, target);
    return target;
  }

  /** Applies the newest registry list. */
  update(entries: readonly RegistryEntry[]): void {
    this.listed = true;
    const present = new Set<string>();
    entries.forEach((entry) => {
      present.add(entry.targetId);
      this.updateOne(entry);
    });
    for (const target of this.targets.values()) {
      if (!present.has(target.targetId)) this.unlist(target);
    }
  }

  private updateOne(entry: RegistryEntry): void {
    const target = this.ensure(entry.targetId);
    const isNew = target.entry === undefined;
    const wasDraining = target.isDraining;
    target.entry = entry;
    target.isListed = true;
    if (target.hasUnknownLifetime) {
      target.isConfirmed = false;
      target.isReserved = false;
    }
    if (isNew || !target.isConfirmed) this.listedEmitter.fire(target);
    if (target.isDraining && !wasDraining) this.drainingEmitter.fire(target);
  }

  private unlist(target: FleetTarget): void {
    Object.assign(target, { isListed: false });
    if (target.runs.size > 0) {
      // The target may still be alive, so it stays until its runs have ended or its lease expires.
      return;
    }
    this.targets.delete(target.targetId);
    this.removedEmitter.fire(target);
  }
}
