/** Derives the state of every instance from the configuration and the open jobs. */
import { type InstanceId, type PoolId, type RackId, type ZoneId } from '@acaciadock/core';
import { type ConfigDocument } from '@acaciadock/config';
import { type InstanceState } from './InstanceState.js';
import { type MaintenanceState } from './MaintenanceState.js';

export interface InstanceRow {
  readonly instanceId: InstanceId;
  readonly poolId: PoolId;
  readonly zoneId: ZoneId;
  readonly rackId: RackId;
  readonly state: InstanceState;
  /** Purpose of the open job; undefined without a job. */
  readonly purpose: string | undefined;
  /** Start of the current state, in ms since the Unix epoch; undefined without a job. */
  readonly sinceMs: number | undefined;
}

export function instanceStates(
  document: ConfigDocument,
  maintenance: MaintenanceState,
): readonly InstanceRow[] {
  const jobs = new Map(Object.values(maintenance.jobs).map((job) => [job.instanceId, job]));
  return Object.entries(document.instances).map(([instanceId, instance]) => {
    const { poolId, zoneId, rackId, intent } = instance;
    const job = jobs.get(instanceId);
    const inService = document.pools[poolId]?.role === 'spare' ? 'spare' : 'serving';
    const state = job?.state ?? (intent === 'serving' ? inService : 'draining');
    const { purpose, sinceMs } = job ?? {};
    return { instanceId, poolId, zoneId, rackId, state, purpose, sinceMs };
  });
}
