/**
 * The targets of one pool as seen by its home: slots in use across all services and gateways, and
 * which targets accept new work. Targets are kept in buckets by load, so that the least loaded one
 * is found without scanning all targets.
 */
import { type InstanceId, type RackId, type TargetId } from '@acaciadock/core';
import { type InstanceConfig } from '@acaciadock/config';

const LOAD_BUCKETS = 64;

export interface PlacementRequirements {
  readonly accelerators: number;
  readonly avoidTargetIds: ReadonlySet<TargetId>;
  readonly avoidRackIds: ReadonlySet<RackId>;
  /** Whether the run may be the trial run of an ejected target. */
  readonly mayBeTrial: boolean;
}

interface Target {
  readonly targetId: TargetId;
  instance: InstanceConfig;
  used: number;
  ejected: boolean;
  /** The next run is the trial run of this ejected target. */
  trial: boolean;
  /** In its cooldown after it refused a run or was unreachable. */
  coolingDown: boolean;
  /**
   * Index of the target's bucket. It is -1 if the target is in rotation without a free slot or in
   * its cooldown: its slots count in `slots`, but it is in no bucket. It is undefined if the target
   * is not in rotation, or not indexed at present.
   */
  bucket: number | undefined;
}

export class PoolTargets {
  private readonly targets = new Map<TargetId, Target>();

  private readonly buckets = Array.from({ length: LOAD_BUCKETS + 1 }, () => new Set<Target>());

  private readonly trials = new Set<Target>();

  /**
   * Targets that are closed to new work because the platform lists them as leaving or an entry
   * closed them. Targets closed by the configuration are not included.
   */
  private leaving: ReadonlySet<InstanceId> = new Set();

  private freeCount = 0;

  private slotCount = 0;

  /** Number of slots on targets in rotation, which are neither ejected nor closed. */
  get slots(): number {
    return this.slotCount;
  }

  /** Number of free slots on targets that accept new work. */
  get freeSlots(): number {
    return this.freeCount;
  }

  /** Whether a slot is free or an ejected target is due for a trial run. */
  get hasRoom(): boolean {
    return this.freeCount > 0 || this.trials.size > 0;
  }

  get size(): number {
    return this.targets.size;
  }

  targetIds(): readonly TargetId[] {
    return [...this.targets.keys()];
  }

  configure(instances: ReadonlyMap<InstanceId, InstanceConfig>): void {
    this.targets.forEach((target, targetId) => {
      if (!instances.has(targetId)) this.removeTarget(target);
    });
    instances.forEach((instance, targetId) => this.reindex(this.targetOf(targetId, instance)));
  }

  /**
   * Replaces the set of targets that are closed to new work for a reason outside the configuration.
   */
  setClosed(leaving: ReadonlySet<InstanceId>): void {
    const previous = this.leaving;
    this.leaving = leaving;
    [...previous, ...leaving].forEach((targetId) => {
      const target = this.targets.get(targetId);
      if (target) this.reindex(target);
    });
  }

  /** Whether a target is closed to new work, by `setClosed` or by its configured intent. */
  isClosed(targetId: TargetId): boolean {
    const target = this.targets.get(targetId);
    if (!target) return true;
    return target.instance.intent !== 'serving' || this.leaving.has(targetId);
  }

  closedTargetIds(): readonly TargetId[] {
    return this.targetIds().filter((targetId) => this.isClosed(targetId));
  }

  setEjected(targetId: TargetId, ejected: boolean): void {
    this.update(targetId, { ejected, trial: false });
  }

  /** Allows one trial run on an ejected target; returns false if the target is closed. */
  allowTrial(targetId: TargetId): boolean {
    if (this.isClosed(targetId)) return false;
    this.update(targetId, { trial: true });
    return true;
  }

  setCoolingDown(targetId: TargetId, coolingDown: boolean): void {
    this.update(targetId, { coolingDown });
  }

  usedOf(targetId: TargetId): number {
    return this.targets.get(targetId)?.used ?? 0;
  }

  take(targetId: TargetId): void {
    this.update(targetId, { used: this.usedOf(targetId) + 1, trial: false });
  }

  release(targetId: TargetId): void {
    this.update(targetId, { used: Math.max(0, this.usedOf(targetId) - 1) });
  }

  /** Whether any target of the pool, busy or not, has enough accelerators for a run. */
  fits(accelerators: number): boolean {
    for (const { instance } of this.targets.values()) {
      if (instance.accelerators >= accelerators) return true;
    }
    return false;
  }

  /**
   * Picks the least loaded target with a free slot. A target to avoid is picked only if no other
   * suitable target of the pool is in rotation; a rack to avoid, only if no target outside it has a
   * free slot.
   */
  pick(requirements: PlacementRequirements): TargetId | undefined {
    const trial = requirements.mayBeTrial && this.firstTrial(requirements);
    if (trial) return trial.targetId;
    let sameRack: Target | undefined;
    let avoided: Target | undefined;
    for (const target of this.available()) {
      if (target.instance.accelerators < requirements.accelerators) continue;
      if (requirements.avoidTargetIds.has(target.targetId)) avoided ??= target;
      else if (requirements.avoidRackIds.has(target.instance.rackId)) sameRack ??= target;
      else return target.targetId;
    }
    if (sameRack) return sameRack.targetId;
    return avoided && !this.hasAlternative(requirements) ? avoided.targetId : undefined;
  }

  private firstTrial(requirements: PlacementRequirements): Target | undefined {
    for (const target of this.trials) {
      if (target.instance.accelerators >= requirements.accelerators) return target;
    }
    return undefined;
  }

  private *available(): Generator<Target> {
    for (const bucket of this.buckets) yield* bucket;
  }

  private hasAlternative(requirements: PlacementRequirements): boolean {
    for (const target of this.targets.values()) {
      const fits = target.instance.accelerators >= requirements.accelerators;
      if (fits && this.isInRotation(target) && !requirements.avoidTargetIds.has(target.targetId))
        return true;
    }
    return false;
  }

  private targetOf(targetId: TargetId, instance: InstanceConfig): Target {
    const known = this.targets.get(targetId);
    if (known) {
      this.withdraw(known);
      return Object.assign(known, { instance });
    }
    const target: Target = {
      targetId,
      instance,
      used: 0,
      ejected: false,
      trial: false,
      coolingDown: false,
      bucket: undefined,
    };
    this.targets.set(targetId, target);
    return target;
  }

  private removeTarget(target: Target): void {
    this.withdraw(target);
    this.trials.delete(target);
    this.targets.delete(target.targetId);
  }

  private update(targetId: TargetId, values: Partial<Target>): void {
    const target = this.targets.get(targetId);
    if (!target) return;
    this.withdraw(target);
    Object.assign(target, values);
    this.reindex(target);
  }

  private isInRotation(target: Target): boolean {
    return !target.ejected && !this.isClosed(target.targetId);
  }

  /** Removes a target from the totals and buckets before it changes; `reindex` adds it again. */
  private withdraw(target: Target): void {
    if (target.bucket === undefined) return;
    const { slots } = target.instance;
    this.slotCount -= slots;
    if (target.bucket >= 0) {
      this.buckets[target.bucket]?.delete(target);
      this.freeCount -= slots - target.used;
    }
    Object.assign(target, { bucket: undefined });
  }

  /** Adds a target to the totals, the buckets and the trials again after it has changed. */
  private reindex(target: Target): void {
    this.withdraw(target);
    if (target.trial && !this.isClosed(target.targetId)) this.trials.add(target);
    else this.trials.delete(target);
    if (!this.isInRotation(target)) return;
    const { slots } = target.instance;
    this.slotCount += slots;
    const hasFree = target.used < slots && !target.coolingDown;
    const bucket = hasFree ? Math.floor((target.used * LOAD_BUCKETS) / slots) : -1;
    Object.assign(target, { bucket });
    if (!hasFree) return;
    this.buckets[bucket]?.add(target);
    this.freeCount += slots - target.used;
  }
}
