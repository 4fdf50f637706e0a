/**
 * Which instances can't be counted on, from the platform's lagging list and from health checks
 * of our own. What is said of an instance by neither counts as healthy.
 */
import { type Clock, type InstanceId } from '@acaciadock/core';
import { type InstanceList } from '@acaciadock/platform';

/** A list older than this is not fit to begin a step on. */
const LIST_FRESH_MS = 10_000;
const FAILURES_TO_DOWN = 2;

export class FleetHealth {
  private listed: InstanceList | undefined;

  private receivedAtMs = Number.NEGATIVE_INFINITY;

  private readonly failures = new Map<InstanceId, number>();

  constructor(private readonly clock: Clock) {}

  /** A newer list; an older one than is known is left aside. */
  list(list: InstanceList): void {
    if (this.listed && list.observedAtMs < this.listed.observedAtMs) return;
    this.listed = list;
    this.receivedAtMs = this.clock.monotonicMs();
  }

  /** The result of one health check. */
  checked(instanceId: InstanceId, healthy: boolean): void {
    if (healthy) this.failures.delete(instanceId);
    else this.failures.set(instanceId, (this.failures.get(instanceId) ?? 0) + 1);
  }

  get isListFresh(): boolean {
    return this.clock.monotonicMs() - this.receivedAtMs <= LIST_FRESH_MS;
  }

  /** Instances that the platform says are leaving. */
  leaving(): ReadonlySet<InstanceId> {
    return this.withState('leaving');
  }

  /** Instances that the platform says are live; undefined without any list. */
  live(): ReadonlySet<InstanceId> | undefined {
    return this.listed ? this.withState('live') : undefined;
  }

  /** Whether the instance is believed able to serve. */
  isUp(instanceId: InstanceId): boolean {
    if ((this.failures.get(instanceId) ?? 0) >= FAILURES_TO_DOWN) return false;
    return this.live()?.has(instanceId) ?? true;
  }

  private withState(state: 'live' | 'leaving'): ReadonlySet<InstanceId> {
    const instances = this.listed?.instances ?? [];
    const matching = instances.filter((instance) => instance.state === state);
    return new Set(matching.map(({ instanceId }) => instanceId));
  }
}
