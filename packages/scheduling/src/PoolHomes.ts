/**
 * Determines the home of each pool, the entry that queues the pool's tickets and issues its grants.
 * Homes are assigned by pool rather than by service: services that share a pool have the same home,
 * so that one entry accounts for all slots of the pool. The homes of a service are ranked by the id
 * of its pool; those of a service that is not configured, by the id of the service.
 */
import { type EntryId, HomeMap, type PoolId, type ServiceId } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';

export class PoolHomes extends HomeMap {
  override readonly onChange: HomeMap['onChange'];

  constructor(
    private readonly members: HomeMap,
    private readonly config: ConfigView,
  ) {
    super();
    this.onChange = members.onChange;
  }

  override rankedHomes(serviceId: ServiceId): readonly EntryId[] {
    const poolId = this.config.state().document.services[serviceId]?.poolId;
    return this.members.rankedHomes(poolId ?? serviceId);
  }

  override liveEntries(): readonly EntryId[] {
    return this.members.liveEntries();
  }

  homeOfPool(poolId: PoolId): EntryId | undefined {
    return this.members.rankedHomes(poolId)[0];
  }
}
