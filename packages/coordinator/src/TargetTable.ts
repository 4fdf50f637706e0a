/** All targets that are listed or may still run something. */
import { Disposable, EventEmitter } from '@acaciadock/core';
import { type RegistryEntry } from './contracts/index.js';
import { FleetTarget } from './FleetTarget.js';

export interface TargetTableOptions {
  readonly mostLeaseMs: number;
  /** Monotonic time by which every lease given by an earlier owner has ended. */
  readonly inheritedUntilMs: number;
}

export class TargetTable extends Disposable {
  private readonly targets = new Map<string, FleetTarget>();

  private readonly addEmitter = this.register(new EventEmitter<FleetTarget>());

  /** Fires when a target, or a new lifetime of one, is listed. */
  readonly onListed = this.addEmitter.event;

  private readonly drainEmitter = this.register(new EventEmitter<FleetTarget>());

  /** Fires when a target starts to drain. */
  readonly onDraining = this.drainEmitter.event;

  private readonly removeEmitter = this.register(new EventEmitter<FleetTarget>());

  /** Fires when a target is no longer listed and runs nothing. */
  readonly onRemoved = this.removeEmitter.event;

  private listed = false;

  private inheritedUntilMs: number;

  constructor(private readonly options: TargetTableOptions) {
    super();
    this.inheritedUntilMs = options.inheritedUntilMs;
  }

  /** Takes up that leases given by earlier owners end by then, if that is sooner than was known. */
  boundInherited(untilMs: number): void {
    this.inheritedUntilMs = Math.min(this.inheritedUntilMs, untilMs);
    this.targets.forEach(({ lease }) => lease.boundInherited(untilMs));
  }

  /** Whether the list has been read at least once. */
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

  ensure(targetId: string): FleetTarget {
    const known = this.targets.get(targetId);
    if (known) return known;
    const { mostLeaseMs } = this.options;
    const target = new FleetTarget(targetId, mostLeaseMs, this.inheritedUntilMs);
    this.targets.set(targetId, target);
    return target;
  }

  /** Takes up the newest list. */
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
    if (isNew || !target.isConfirmed) this.addEmitter.fire(target);
    if (target.isDraining && !wasDraining) this.drainEmitter.fire(target);
  }

  private unlist(target: FleetTarget): void {
    Object.assign(target, { isListed: false });
    if (target.runs.size > 0) {
      // It may live on unheard; its lease decides.
      return;
    }
    this.targets.delete(target.targetId);
    this.removeEmitter.fire(target);
  }
}
