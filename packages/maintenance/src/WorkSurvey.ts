/**
 * Queries all entries on behalf of the controller for the configuration version that they apply,
 * the open runs at closed instances, and the demand of each service.
 */
import {
  type Clock,
  Disposable,
  type EntryId,
  type HomeMap,
  type ServiceId,
} from '@acaciadock/core';
import { type PeerNetwork, type ReceivedMessage, type WorkReply } from '@acaciadock/peers';
import { type DemandSmoother } from './DemandSmoother.js';
import { type DrainTracker } from './DrainTracker.js';

/** Maximum number of queries whose replies are still accepted. */
const MAX_OPEN_QUERIES = 16;

interface OpenQuery {
  readonly queriedAtMs: number;
  /** Entries that have not replied yet. */
  readonly missing: Set<EntryId>;
  /** Runs by service, summed over the replies so far. */
  readonly running: Map<ServiceId, number>;
}

export class WorkSurvey extends Disposable {
  private readonly queries = new Map<string, OpenQuery>();

  private nextQuery = 0;

  constructor(
    private readonly incarnation: string,
    private readonly homes: HomeMap,
    private readonly network: PeerNetwork,
    private readonly tracker: DrainTracker,
    private readonly demand: DemandSmoother,
    private readonly clock: Clock,
  ) {
    super();
    this.register(network.onMessage((received) => this.receive(received)));
  }

  /** Sends a query to every entry that is considered live. */
  queryEntries(): void {
    const entryIds = this.homes.liveEntries();
    this.tracker.expect(entryIds);
    this.nextQuery += 1;
    const queryId = `${this.incarnation}.${this.nextQuery}`;
    this.queries.set(queryId, {
      queriedAtMs: this.clock.monotonicMs(),
      missing: new Set(entryIds),
      running: new Map(),
    });
    const [oldest] = this.queries.keys();
    if (this.queries.size > MAX_OPEN_QUERIES && oldest !== undefined) this.queries.delete(oldest);
    const instanceIds = [...this.tracker.closed];
    entryIds.forEach((entryId) => {
      this.network.send(entryId, { kind: 'work-query', queryId, instanceIds });
    });
  }

  private receive({ fromEntryId, message }: ReceivedMessage): void {
    if (message.kind !== 'work-reply') return;
    const query = this.queries.get(message.queryId);
    if (!query?.missing.delete(fromEntryId)) return;
    this.tracker.report(fromEntryId, message, query.queriedAtMs);
    this.add(query, message);
  }

  private add(query: OpenQuery, reply: WorkReply): void {
    reply.runningByService.forEach(({ serviceId, count }) => {
      query.running.set(serviceId, (query.running.get(serviceId) ?? 0) + count);
    });
    // The demand of a service is known only once all entries have replied.
    if (query.missing.size > 0) return;
    query.running.forEach((count, serviceId) => this.demand.observe(serviceId, count));
  }
}
