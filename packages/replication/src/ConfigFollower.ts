/**
 * Follows the configuration stream: reads the log, and if the log does not answer in time, requests
 * records from a peer that has read further. Passes what it receives to the replica, which makes
 * all decisions about it.
 */
import {
  Backoff,
  type Clock,
  type ConfigFreshness,
  Disposable,
  type EntryId,
  type Random,
} from '@acaciadock/core';
import {
  type ChangesSince,
  type ConfigDocument,
  type ConfigState,
  type ConfigView,
  EMPTY_DOCUMENT,
  type PatchDecision,
  type SnapshotRecord,
} from '@acaciadock/config';
import { type ConfigRecords, type PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';
import {
  CONFIG_STREAM,
  type LogPage,
  type LogService,
  type ReadFailure,
} from '@acaciadock/platform';
import { ConfigReplica } from './ConfigReplica.js';
import { type PeerPosition } from './PeerPositions.js';
import { SnapshotSearch } from './SnapshotSearch.js';

const PAGE_RECORDS = 1_000;
const READ_WAIT_MS = 2_000;
const RETRY = { firstMs: 50, maxMs: 1_000 };
/** How long to wait for the log to deliver records that a peer already has, before a pull. */
const LOG_GRACE_MS = 300;
/** How long to wait for the answer of a peer before another one is asked. */
const PULL_TIMEOUT_MS = 500;

export class ConfigFollower extends Disposable implements ConfigView, ConfigFreshness {
  readonly replica: ConfigReplica;

  readonly onChange;

  readonly onRecord;

  readonly onAlarm;

  readonly onFreshness;

  private readonly backoff: Backoff;

  private readonly search: SnapshotSearch;

  private network: PeerNetwork | undefined;

  /** Undefined until the first read of the log has succeeded or failed. */
  private reachable: boolean | undefined;

  private caughtUp = false;

  /** Whether a relay from a peer has advanced this entry at least once. */
  private hasPeerRecords = false;

  /**
   * Whether to search for a snapshot before the next read: at the start, to skip older records, and
   * after the records that follow the last one read have expired.
   */
  private needsSnapshotSearch = true;

  private lastPullAtMs = -Infinity;

  /** Each attempt without progress moves on to the next of the peers that are ahead. */
  private pullsWithoutProgress = 0;

  constructor(
    private readonly log: LogService,
    private readonly clock: Clock,
    random: Random,
    initial: ConfigDocument = EMPTY_DOCUMENT,
  ) {
    super();
    this.replica = this.register(new ConfigReplica(clock, initial));
    this.onChange = this.replica.onChange;
    this.onRecord = this.replica.onRecord;
    this.onAlarm = this.replica.onAlarm;
    this.onFreshness = this.replica.onFreshness;
    this.backoff = new Backoff(RETRY, random);
    this.search = new SnapshotSearch(log);
  }

  /** Whether the last read of the log succeeded. */
  get logReachable(): boolean {
    return this.reachable === true;
  }

  /** Whether the end of the log has been read at least once since the start. */
  get isCaughtUp(): boolean {
    return this.caughtUp;
  }

  isReady(): boolean {
    if (this.caughtUp) return true;
    return this.hasPeerRecords && this.behindForMs() === undefined;
  }

  behindForMs(): number | undefined {
    return this.replica.behindForMs();
  }

  state(): ConfigState {
    return this.replica.state();
  }

  /** The decision on a patch; undefined if its record was not read or the decision was evicted. */
  decision(patchId: string): PatchDecision | undefined {
    return this.replica.decision(patchId);
  }

  /** The changes after a version, as far as they are kept. */
  changesSince(version: number): ChangesSince {
    return this.replica.changesSince(version);
  }

  snapshot(): SnapshotRecord {
    return this.replica.snapshot();
  }

  peerPositions(): readonly PeerPosition[] {
    return this.replica.peerPositions();
  }

  /** Exchanges records with the other entries of this network. */
  attach(network: PeerNetwork): void {
    this.network = network;
    this.register(network.onMessage((received) => this.handleMessage(received)));
  }

  /** Reads the log until this object is disposed. */
  async run(): Promise<void> {
    while (!this.isDisposed) {
      if (this.needsSnapshotSearch) await this.searchSnapshot();
      else await this.readPage();
    }
  }

  private async searchSnapshot(): Promise<void> {
    const result = await this.search.find(this.state().offset + 1);
    if (this.isDisposed) return;
    if (result.isErr()) {
      await this.handleReadFailure(result.error);
      return;
    }
    this.reachable = true;
    if (result.value.kind === 'none') {
      this.replica.observeNoSnapshot(result.value.firstOffset);
      await this.clock.sleep(this.backoff.nextMs());
      return;
    }
    if (result.value.kind === 'found') this.replica.adopt(result.value.snapshot);
    this.needsSnapshotSearch = false;
  }

  private async readPage(): Promise<void> {
    const fromOffset = this.state().offset + 1;
    const page = await this.log.read({
      stream: CONFIG_STREAM,
      fromOffset,
      maxRecords: PAGE_RECORDS,
      waitMs: this.caughtUp ? READ_WAIT_MS : 0,
    });
    if (this.isDisposed) return;
    if (page.isErr()) await this.handleReadFailure(page.error);
    else if (page.value.endOffset < fromOffset) await this.handleShortenedLog(page.value);
    else await this.applyPage(page.value);
  }

  private async applyPage(page: LogPage): Promise<void> {
    this.reachable = true;
    this.backoff.reset();
    const before = this.state().offset;
    this.replica.applyRecords(page.records);
    this.replica.observeLogEnd(page.endOffset);
    if (this.state().offset + 1 >= page.endOffset) this.caughtUp = true;
    const stuck = page.records.length > 0 && this.state().offset === before;
    if (stuck) await this.clock.sleep(this.backoff.nextMs());
  }

  private async handleShortenedLog(page: LogPage): Promise<void> {
    this.reachable = true;
    this.replica.observeShortenedLog(page.endOffset);
    await this.clock.sleep(RETRY.maxMs);
  }

  private async handleReadFailure(failure: ReadFailure): Promise<void> {
    if (failure.kind === 'offset-expired') {
      this.needsSnapshotSearch = true;
      return;
    }
    this.reachable = false;
    await this.clock.sleep(this.backoff.nextMs());
  }

  private handleMessage({ fromEntryId, message }: ReceivedMessage): void {
    if (fromEntryId === this.network?.selfEntryId) return;
    if (message.kind === 'heartbeat') {
      this.replica.observeHeartbeat(fromEntryId, message);
      this.pullIfNeeded();
    }
    if (message.kind === 'config-pull') this.answerPull(fromEntryId, message.afterOffset);
    if (message.kind === 'config-records') this.applyRelayed(message);
  }

  private pullIfNeeded(): void {
    const ahead = this.replica.peersAhead();
    const asked = ahead[this.pullsWithoutProgress % ahead.length];
    if (!asked) return;
    const behindForMs = this.behindForMs() ?? 0;
    if (this.reachable !== false && behindForMs < LOG_GRACE_MS) return;
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.lastPullAtMs < PULL_TIMEOUT_MS) return;
    this.lastPullAtMs = nowMs;
    this.pullsWithoutProgress += 1;
    const afterOffset = this.state().offset;
    this.network?.send(asked.entryId, { kind: 'config-pull', afterOffset });
  }

  private answerPull(toEntryId: EntryId, afterOffset: number): void {
    const answer = this.replica.relay(afterOffset);
    if (answer) this.network?.send(toEntryId, answer);
  }

  private applyRelayed(message: ConfigRecords): void {
    const before = this.state().offset;
    if (message.snapshot !== undefined) this.replica.adopt(message.snapshot);
    this.replica.applyRecords(message.records);
    if (this.state().offset === before) return;
    this.hasPeerRecords = true;
    this.lastPullAtMs = -Infinity;
    this.pullsWithoutProgress = 0;
    this.pullIfNeeded();
  }
}
