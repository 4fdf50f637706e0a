/**
 * Tracks which instances are healthy, from the platform's instance list, which lags, and from the
 * controller's own health checks. An instance counts as healthy if neither says otherwise.
 */
import { type Clock, type InstanceId } from '@acaciadock/core';
import { type InstanceList } from '@acaciadock/platform';

/** No step is started on a list that was received longer ago than this. */
const MAX_LIST_AGE_MS = 10_000;
const FAILURES_UNTIL_UNHEALTHY = 2;

export class FleetHealth {
  private listed: InstanceList | undefined;

  private receivedAtMs = Number.NEGATIVE_INFINITY;

  private readonly failures = new Map<InstanceId, number>();

  constructor(private readonly clock: Clock) {}

  /** Records a list received from the platform; one older than the current list is ignored. */
  list(list: InstanceList): void {
    if (this.listed && list.observedAtMs < this.listed.observedAtMs) return;
    this.listed = list;
    this.receivedAtMs = this.clock.monotonicMs();
  }

  /** Records the result of one health check. Only consecutive failures count. */
  checked(instanceId: InstanceId, healthy: boolean): void {
    if (healthy) this.failures.delete(instanceId);
    else this.failures.set(instanceId, (this.failures.get(instanceId) ?? 0) + 1);
  }

  get isListFresh(): boolean {
    return this.clock.monotonicMs() - this.receivedAtMs <= MAX_LIST_AGE_MS;
  }

  /** Instances that the platform lists as leaving. */
  leaving(): ReadonlySet<InstanceId> {
    return this.withState('leaving');
  }

  /** Instances that the platform lists as live; undefined before the first list. */
  live(): ReadonlySet<InstanceId> | undefined {
    return this.listed ? this.withState('live') : undefined;
  }

  /**
   * Whether the instance is assumed to be able to serve: its latest health checks did not fail, and
   * the platform lists it as live or has not sent a list yet.
   */
  isHealthy(instanceId: InstanceId): boolean {
    if ((this.failures.get(instanceId) ?? 0) >= FAILURES_UNTIL_UNHEALTHY) return false;
    return this.live()?.has(instanceId) ?? true;
  }

  private withState(state: 'live' | 'leaving'): ReadonlySet<InstanceId> {
    const instances = this.listed?.instances ?? [];
    const matching = instances.filter((instance) => instance.state === state);
    return new Set(matching.map(({ instanceId }) => instanceId));
  }
}
