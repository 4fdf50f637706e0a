/**
 * Collects the status of all entries over the peer links when an operator requests it. Entries that
 * do not reply before the timeout are reported as silent.
 */
import { randomUUID } from 'node:crypto';
import { type Clock, Disposable, type EntryId, type HomeMap } from '@acaciadock/core';
import { type EntryStatus, type PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';

const ANSWER_TIMEOUT_MS = 1_000;

export interface FleetStatusReport {
  readonly askedEntryId: EntryId;
  readonly entries: readonly EntryStatus[];
  /** Entries that are believed alive but did not reply before the timeout. */
  readonly silentEntryIds: readonly EntryId[];
}

interface OpenQuery {
  readonly awaited: Set<EntryId>;
  readonly answers: EntryStatus[];
  readonly finish: () => void;
}

export class FleetStatus extends Disposable {
  private readonly queries = new Map<string, OpenQuery>();

  constructor(
    private readonly homes: HomeMap,
    private readonly network: PeerNetwork,
    private readonly clock: Clock,
    private readonly ownStatus: () => EntryStatus,
  ) {
    super();
    this.register(network.onMessage((received) => this.handleMessage(received)));
  }

  /** Queries every entry that is believed alive, and waits for the replies or the timeout. */
  async queryEntries(): Promise<FleetStatusReport> {
    const { selfEntryId } = this.network;
    const queryId = randomUUID();
    const others = this.homes.liveEntries().filter((entryId) => entryId !== selfEntryId);
    const open = await this.collect(queryId, others);
    const entries = [this.ownStatus(), ...open.answers].sort((a, b) =>
      a.entryId < b.entryId ? -1 : 1,
    );
    return { askedEntryId: selfEntryId, entries, silentEntryIds: [...open.awaited].sort() };
  }

  private collect(queryId: string, others: readonly EntryId[]): Promise<OpenQuery> {
    return new Promise((resolve) => {
      const finish = (): void => {
        const open = this.queries.get(queryId);
        if (!open) return;
        this.queries.delete(queryId);
        resolve(open);
      };
      this.queries.set(queryId, { awaited: new Set(others), answers: [], finish });
      others.forEach((entryId) => this.network.send(entryId, { kind: 'status-query', queryId }));
      if (others.length === 0) finish();
      else this.clock.after(ANSWER_TIMEOUT_MS, finish);
    });
  }

  private handleMessage({ fromEntryId, message }: ReceivedMessage): void {
    if (message.kind === 'status-query') {
      const { queryId } = message;
      const status = this.ownStatus();
      this.network.send(fromEntryId, { kind: 'status-reply', queryId, status });
      return;
    }
    if (message.kind !== 'status-reply') return;
    const open = this.queries.get(message.queryId);
    if (!open?.awaited.delete(fromEntryId)) return;
    open.answers.push(message.status);
    if (open.awaited.size === 0) open.finish();
  }
}
