/**
 * The view of work that the maintenance controller uses: what the homes told lately of leaving
 * instances. Also carries what the controller closed to all entries, again every second.
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

const FRESH_MS = 3_000;
const REPEAT_MS = 1_000;

interface Status {
  readonly openGrants: ReadonlyMap<InstanceId, number>;
  /** Monotonic milliseconds. */
  readonly toldAtMs: number;
}

export class FleetWork extends Disposable implements WorkView {
  private readonly statuses = new Map<EntryId, Status>();

  private closed: ReadonlySet<InstanceId> = new Set();

  constructor(
    private readonly homes: HomeMap,
    private readonly network: PeerNetwork,
    private readonly clock: Clock,
  ) {
    super();
    this.register(
      network.onMessage(({ fromEntryId, message }) => {
        if (message.kind === 'drain-status') this.take(fromEntryId, message);
      }),
    );
    this.register(
      clock.every(REPEAT_MS, () => {
        if (this.closed.size > 0) this.tellClosed();
      }),
    );
  }

  openGrants(instanceId: InstanceId): number {
    const told = this.fresh()
      .map(({ openGrants }) => openGrants.get(instanceId))
      .filter((open) => open !== undefined);
    if (told.length === 0) return Number.POSITIVE_INFINITY;
    return told.reduce((sum, open) => sum + open, 0);
  }

  draining(): ReadonlySet<InstanceId> {
    return new Set(this.fresh().flatMap(({ openGrants }) => [...openGrants.keys()]));
  }

  setClosedToNewWork(instanceIds: ReadonlySet<InstanceId>): void {
    this.closed = new Set(instanceIds);
    this.tellClosed();
  }

  private take(fromEntryId: EntryId, status: DrainStatus): void {
    const openGrants = new Map(
      status.instances.map((instance) => [instance.instanceId, instance.openGrants]),
    );
    this.statuses.set(fromEntryId, { openGrants, toldAtMs: this.clock.monotonicMs() });
  }

  private fresh(): Status[] {
    const sinceMs = this.clock.monotonicMs() - FRESH_MS;
    return [...this.statuses.values()].filter(({ toldAtMs }) => toldAtMs > sinceMs);
  }

  private tellClosed(): void {
    const instanceIds = [...this.closed];
    this.homes.liveEntries().forEach((entryId) => {
      this.network.send(entryId, { kind: 'targets-closed', instanceIds });
    });
  }
}
