/**
 * The open grants of the whole fleet on instances that are closed to new work, from the recent
 * `drain-status` messages of the homes. It can also close instances to new work: it broadcasts the
 * set of closed instances to all entries, and repeats it every second.
 *
 * Whether an instance is drained is not decided by these counts, but by `DrainTracker` in the
 * maintenance package.
 */
import {
  type Clock,
  Disposable,
  type EntryId,
  type HomeMap,
  type InstanceId,
  type WorkView,
} from '@acaciadock/core';
import { type DrainStatus, type PeerNetwork } from '@acaciadock/peers';

/** Several times the period in which homes send their drain status (500 ms in `Dispatcher`). */
const STATUS_TTL_MS = 3_000;
/** Homes drop a closure that is not repeated within `CLOSURE_TTL_MS` of `ClosedTargets`. */
const REPEAT_PERIOD_MS = 1_000;

interface Status {
  readonly openGrants: ReadonlyMap<InstanceId, number>;
  /** Monotonic milliseconds. */
  readonly receivedAtMs: number;
}

export class FleetWork extends Disposable implements WorkView {
  private readonly statuses = new Map<EntryId, Status>();

  /** The instances that this entry has closed to new work. */
  private closed: ReadonlySet<InstanceId> = new Set();

  constructor(
    private readonly homes: HomeMap,
    private readonly network: PeerNetwork,
    private readonly clock: Clock,
  ) {
    super();
    this.register(
      network.onMessage(({ fromEntryId, message }) => {
        if (message.kind === 'drain-status') this.recordStatus(fromEntryId, message);
      }),
    );
    this.register(
      clock.every(REPEAT_PERIOD_MS, () => {
        if (this.closed.size > 0) this.broadcastClosed();
      }),
    );
  }

  openGrants(instanceId: InstanceId): number {
    const received = this.freshStatuses()
      .map(({ openGrants }) => openGrants.get(instanceId))
      .filter((open) => open !== undefined);
    if (received.length === 0) return Number.POSITIVE_INFINITY;
    return received.reduce((sum, open) => sum + open, 0);
  }

  draining(): ReadonlySet<InstanceId> {
    return new Set(this.freshStatuses().flatMap(({ openGrants }) => [...openGrants.keys()]));
  }

  setClosedToNewWork(instanceIds: ReadonlySet<InstanceId>): void {
    this.closed = new Set(instanceIds);
    this.broadcastClosed();
  }

  private recordStatus(fromEntryId: EntryId, status: DrainStatus): void {
    const openGrants = new Map(
      status.instances.map((instance) => [instance.instanceId, instance.openGrants]),
    );
    this.statuses.set(fromEntryId, { openGrants, receivedAtMs: this.clock.monotonicMs() });
  }

  private freshStatuses(): Status[] {
    const sinceMs = this.clock.monotonicMs() - STATUS_TTL_MS;
    return [...this.statuses.values()].filter(({ receivedAtMs }) => receivedAtMs > sinceMs);
  }

  private broadcastClosed(): void {
    const instanceIds = [...this.closed];
    this.homes.liveEntries().forEach((entryId) => {
      this.network.send(entryId, { kind: 'targets-closed', instanceIds });
    });
  }
}
