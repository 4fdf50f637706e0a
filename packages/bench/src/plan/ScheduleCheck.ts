/**
 * Checks a schedule against the configuration document, instance by instance: while the instances
 * of a wave are out and any one rack is lost as well, every pool must still have its minimum number
 * of serving instances. Independent of the planner's own calculation.
 */
import { type ConfigDocument } from '@acaciadock/config';
import { fleetShape, type SparePlan } from '@acaciadock/maintenance';

export interface ScheduleFaults {
  /** Pools below their minimum during a wave, counted for each wave. */
  readonly budgetBreaches: number;
  /** Instances of the document that are in no wave. */
  readonly missed: number;
  /** Further occurrences of instances that an earlier wave contains already. */
  readonly repeated: number;
}

export function checkSchedule(document: ConfigDocument, plan: SparePlan): ScheduleFaults {
  const shape = fleetShape(document, new Map());
  const keptSpares = new Map(
    shape.pools.map(({ poolId }, index) => [poolId, plan.use.kept[index] ?? 0]),
  );
  const minServing = new Map<string, number>();
  Object.values(document.services).forEach(({ poolId, minServingInstances }) => {
    minServing.set(poolId, Math.max(minServing.get(poolId) ?? 0, minServingInstances));
  });
  const byPool = new Map<string, { instanceId: string; rackId: string }[]>();
  Object.entries(document.instances).forEach(([instanceId, { poolId, rackId }]) => {
    const members = byPool.get(poolId) ?? [];
    members.push({ instanceId, rackId });
    byPool.set(poolId, members);
  });
  const seen = new Set<string>();
  let repeated = 0;
  let budgetBreaches = 0;
  plan.schedule.waves.forEach(({ instanceIds }) => {
    const out = new Set(instanceIds);
    const affectedPools = new Set(instanceIds.map((id) => document.instances[id]?.poolId ?? ''));
    instanceIds.forEach((id) => {
      if (seen.has(id)) repeated += 1;
      seen.add(id);
    });
    affectedPools.forEach((poolId) => {
      const serving = (byPool.get(poolId) ?? []).filter(({ instanceId }) => !out.has(instanceId));
      const perRack = new Map<string, number>();
      serving.forEach(({ rackId }) => perRack.set(rackId, (perRack.get(rackId) ?? 0) + 1));
      const worst = Math.max(0, ...perRack.values());
      // Shared spares are lent to a pool only in its turn, and then it may be lent all of them.
      const spare = (keptSpares.get(poolId) ?? 0) + plan.use.shared;
      if (serving.length + spare - worst < (minServing.get(poolId) ?? 0)) budgetBreaches += 1;
    });
  });
  const missed = Object.keys(document.instances).length - seen.size;
  return { budgetBreaches, missed, repeated };
}
