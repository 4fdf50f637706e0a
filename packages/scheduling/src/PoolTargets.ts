/**
 * The targets of one pool as its home sees them: used slots over all services and gateways, and
 * which targets take new work. Targets are kept in buckets by load, so that the least loaded one
 * is found without a scan.
 */
import { type InstanceId, type RackId, type TargetId } from '@acaciadock/core';
import { type InstanceConfig } from '@acaciadock/config';

const LOAD_BUCKETS = 64;

export interface TargetWish {
  readonly accelerators: number;
  readonly avoidTargetIds: ReadonlySet<TargetId>;
  readonly avoidRackIds: ReadonlySet<RackId>;
  /** Whether the run may serve as the trial of an ejected target. */
  readonly mayTry: boolean;
}

interface Target {
  readonly targetId: TargetId;
  instance: InstanceConfig;
  used: number;
  ejected: boolean;
  /** The next run is the trial of an ejected target. */
  trial: boolean;
  /** Kept from work for a moment after it refused a run. */
  resting: boolean;
  bucket: number | undefined;
}

export class PoolTargets {
  private readonly targets = new Map<TargetId, Target>();

  private readonly buckets = Array.from({ length: LOAD_BUCKETS + 1 }, () => new Set<Target>());

  private readonly trials = new Set<Target>();

  private leaving: ReadonlySet<InstanceId> = new Set();

  private free = 0;

  private inService = 0;

  /** Slots on targets that take new work. */
  get slots(): number {
    return this.inService;
  }

  /** Slots that are free now on targets that take new work. */
  get freeSlots(): number {
    return this.free;
  }

  /** Whether any run could be placed now. */
  get hasRoom(): boolean {
    return this.free > 0 || this.trials.size > 0;
  }

  get size(): number {
    return this.targets.size;
  }

  targetIds(): readonly TargetId[] {
    return [...this.targets.keys()];
  }

  configure(instances: ReadonlyMap<InstanceId, InstanceConfig>): void {
    this.targets.forEach((target, targetId) => {
      if (!instances.has(targetId)) this.forget(target);
    });
    instances.forEach((instance, targetId) => this.change(this.targetOf(targetId, instance)));
  }

  /** Replaces the targets that leave according to the platform or to the maintenance controller. */
  setLeaving(leaving: ReadonlySet<InstanceId>): void {
    const before = this.leaving;
    this.leaving = leaving;
    [...before, ...leaving].forEach((targetId) => {
      const target = this.targets.get(targetId);
      if (target) this.change(target);
    });
  }

  isLeaving(targetId: TargetId): boolean {
    const target = this.targets.get(targetId);
    if (!target) return true;
    return target.instance.intent !== 'serving' || this.leaving.has(targetId);
  }

  leavingTargetIds(): readonly TargetId[] {
    return this.targetIds().filter((targetId) => this.isLeaving(targetId));
  }

  setEjected(targetId: TargetId, ejected: boolean): void {
    this.update(targetId, { ejected, trial: false });
  }

  /** Allows one run on an ejected target; false if it takes no new work anyway. */
  allowTrial(targetId: TargetId): boolean {
    if (this.isLeaving(targetId)) return false;
    this.update(targetId, { trial: true });
    return true;
  }

  setResting(targetId: TargetId, resting: boolean): void {
    this.update(targetId, { resting });
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

  /** Whether any target of the pool, busy or not, could hold such a run. */
  fits(accelerators: number): boolean {
    for (const { instance } of this.targets.values()) {
      if (instance.accelerators >= accelerators) return true;
    }
    return false;
  }

  /**
   * The least loaded target with a free slot. A target to avoid is taken only where no other of
   * the pool takes work; a rack to avoid where no other has a free slot.
   */
  pick(wish: TargetWish): TargetId | undefined {
    const trial = wish.mayTry && this.firstTrial(wish);
    if (trial) return trial.targetId;
    let sameRack: Target | undefined;
    let avoided: Target | undefined;
    for (const target of this.available()) {
      if (target.instance.accelerators < wish.accelerators) continue;
      if (wish.avoidTargetIds.has(target.targetId)) avoided ??= target;
      else if (wish.avoidRackIds.has(target.instance.rackId)) sameRack ??= target;
      else return target.targetId;
    }
    if (sameRack) return sameRack.targetId;
    return avoided && !this.hasOther(wish) ? avoided.targetId : undefined;
  }

  private firstTrial(wish: TargetWish): Target | undefined {
    for (const target of this.trials) {
      if (target.instance.accelerators >= wish.accelerators) return target;
    }
    return undefined;
  }

  private *available(): Generator<Target> {
    for (const bucket of this.buckets) yield* bucket;
  }

  private hasOther(wish: TargetWish): boolean {
    for (const target of this.targets.values()) {
      const fits = target.instance.accelerators >= wish.accelerators;
      if (fits && this.isIn(target) && !wish.avoidTargetIds.has(target.targetId)) return true;
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
      resting: false,
      bucket: undefined,
    };
    this.targets.set(targetId, target);
    return target;
  }

  private forget(target: Target): void {
    this.withdraw(target);
    this.trials.delete(target);
    this.targets.delete(target.targetId);
  }

  private update(targetId: TargetId, values: Partial<Target>): void {
    const target = this.targets.get(targetId);
    if (!target) return;
    this.withdraw(target);
    Object.assign(target, values);
    this.change(target);
  }

  private isIn(target: Target): boolean {
    return !target.ejected && !this.isLeaving(target.targetId);
  }

  /** Takes a target out of the sums and buckets, before it changes. */
  private withdraw(target: Target): void {
    if (target.bucket === undefined) return;
    const { slots } = target.instance;
    this.inService -= slots;
    if (target.bucket >= 0) {
      this.buckets[target.bucket]?.delete(target);
      this.free -= slots - target.used;
    }
    Object.assign(target, { bucket: undefined });
  }

  /** Puts a target where it belongs, after it changed. */
  private change(target: Target): void {
    this.withdraw(target);
    if (target.trial && !this.isLeaving(target.targetId)) this.trials.add(target);
    else this.trials.delete(target);
    if (!this.isIn(target)) return;
    const { slots } = target.instance;
    this.inService += slots;
    const hasFree = target.used < slots && !target.resting;
    const bucket = hasFree ? Math.floor((target.used * LOAD_BUCKETS) / slots) : -1;
    Object.assign(target, { bucket });
    if (!hasFree) return;
    this.buckets[bucket]?.add(target);
    this.free += slots - target.used;
  }
}
