/** The part of the configuration that the scheduling of one pool depends on. */
import { type InstanceId, type PoolId, type ServiceId, type TeamId } from '@acaciadock/core';
import {
  type ConfigDocument,
  type InstanceConfig,
  type PolicyConfig,
  type ServiceConfig,
  type TeamConfig,
} from '@acaciadock/config';

export interface PoolView {
  readonly poolId: PoolId;
  readonly instances: ReadonlyMap<InstanceId, InstanceConfig>;
  readonly services: ReadonlyMap<ServiceId, ServiceConfig>;
  readonly teams: ReadonlyMap<TeamId, TeamConfig>;
  readonly policy: PolicyConfig;
}

/** Splits a configuration document by pool, in one pass over its instances. */
export function poolViewsOf(document: ConfigDocument): ReadonlyMap<PoolId, PoolView> {
  const teams = new Map(Object.entries(document.teams));
  const views = new Map(
    Object.keys(document.pools).map((poolId) => {
      const instances = new Map<InstanceId, InstanceConfig>();
      const services = new Map<ServiceId, ServiceConfig>();
      return [poolId, { poolId, instances, services, teams, policy: document.policy }];
    }),
  );
  Object.entries(document.instances).forEach(([instanceId, instance]) => {
    views.get(instance.poolId)?.instances.set(instanceId, instance);
  });
  Object.entries(document.services).forEach(([serviceId, service]) => {
    views.get(service.poolId)?.services.set(serviceId, service);
  });
  return views;
}
