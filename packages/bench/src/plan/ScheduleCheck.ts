/**
 * Checks a schedule against the document itself, instance by instance: every wave out, any one
 * rack lost as well, and no pool below its least number of serving instances.
 */
import { type ConfigDocument } from '@acaciadock/config';
import { fleetShape, type SparePlan } from '@acaciadock/maintenance';

export interface ScheduleFaults {
  readonly budgetBreaches: number;
  /** Instances of the document that no wave takes. */
  readonly missed: number;
  /** Instances that more than one wave takes. */
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
      // What is lent is there only in the turn of its pool, at most all shared spares.
      const spare = (keptSpares.get(poolId) ?? 0) + plan.use.shared;
      if (serving.length + spare - worst < (minServing.get(poolId) ?? 0)) budgetBreaches += 1;
    });
  });
  const missed = Object.keys(document.instances).length - seen.size;
  return { budgetBreaches, missed, repeated };
}
