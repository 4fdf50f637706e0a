/** Which targets of a pool have a free slot, as far as this home has granted them. */
import { type TargetId } from '@acaciadock/core';
import { type ConfigDocument, type InstanceConfig, type ServiceConfig } from '@acaciadock/config';

export interface Target {
  readonly targetId: TargetId;
  readonly instance: InstanceConfig;
}

export class TargetSlots {
  private readonly used = new Map<TargetId, number>();

  take(targetId: TargetId): void {
    this.used.set(targetId, this.usedOf(targetId) + 1);
  }

  free(targetId: TargetId): void {
    this.used.set(targetId, Math.max(0, this.usedOf(targetId) - 1));
  }

  usedOf(targetId: TargetId): number {
    return this.used.get(targetId) ?? 0;
  }

  /** The least used serving target of the service's pool that is not to be avoided. */
  pick(
    document: ConfigDocument,
    service: ServiceConfig,
    avoid: ReadonlySet<TargetId>,
  ): Target | undefined {
    const candidates = Object.entries(document.instances)
      .map(([targetId, instance]) => ({ targetId, instance }))
      .filter(({ instance }) => instance.poolId === service.poolId && instance.intent === 'serving')
      .filter(({ targetId, instance }) => this.usedOf(targetId) < instance.slots);
    const preferred = candidates.filter(({ targetId }) => !avoid.has(targetId));
    return (preferred.length > 0 ? preferred : candidates).sort(
      (a, b) => this.usedOf(a.targetId) - this.usedOf(b.targetId),
    )[0];
  }
}
