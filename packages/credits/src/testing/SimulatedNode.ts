/**
 * One process of an entry in virtual time. It runs the production membership and credit logic with
 * its own clock rate and skew, and can crash or pause. A restart of the entry creates another node
 * with the same entry id.
 */
import { type Random, type TeamId } from '@acaciadock/core';
import { type MemberId, MembershipCore } from '@acaciadock/membership';
import { type PeerMessage } from '@acaciadock/peers';
import { type LogRecord } from '@acaciadock/platform';
import { CreditLedger } from '../CreditLedger.js';
import { type LimitsInForce } from '../LedgerOutbox.js';
import { type EventQueue } from './EventQueue.js';
import { type FleetTiming } from './FleetTiming.js';
import { type SimulatedPlatform } from './SimulatedPlatform.js';

const FLUSH_PERIOD_MS = 100;
const READ_PERIOD_MS = 150;
/** A `join` or `leave` record is appended again if it has not taken effect after this time. */
const RECORD_RETRY_MS = 1_000;
const HAND_OVER_TIMEOUT_MS = 1_000;
const LIST_PERIOD_MS = 1_000;
const READ_ROUND_TRIP_MS = 4;
const MAX_SKEW_MS = 240;
const MAX_DRIFT_RATIO = 0.004;

export interface NodeNetwork {
  send(fromEntryId: string, toEntryId: string, message: PeerMessage): void;
  /** Whether the entry can reach the log now. */
  reachesLog(entryId: string): boolean;
}

export interface NodeWorkload {
  /** Called when the node may have credits: starts queued requests. */
  startQueued(node: SimulatedNode): void;
}

export class SimulatedNode {
  core: MembershipCore;

  ledger: CreditLedger;

  crashed = false;

  stopping = false;

  private pausedUntilMs = 0;

  /** Actions that arrived during a pause, to run when the node resumes. */
  private waiting: (() => void)[] = [];

  private readonly skewMs: number;

  private readonly clockRate: number;

  private readonly startedAtMs: number;

  private nextOffset = 0;

  private joinRequestedAtMs = Number.NEGATIVE_INFINITY;

  private limits: LimitsInForce;

  /** Counts the memberships of this process: it joins again as a new member after an eviction. */
  private incarnation = 0;

  private readsInFlight = 0;

  private caughtUp = false;

  /** A `leave` record was appended less than `RECORD_RETRY_MS` ago. */
  private leaveAppended = false;

  private stopStartedAtMs = 0;

  private live: ReadonlySet<string> = new Set();

  constructor(
    readonly entryId: string,
    /** Distinguishes this process from all others, also those of the same entry. */
    private readonly generation: number,
    private readonly queue: EventQueue,
    private readonly platform: SimulatedPlatform,
    private readonly network: NodeNetwork,
    private readonly workload: NodeWorkload,
    private readonly timing: FleetTiming,
    limits: LimitsInForce,
    random: Random,
  ) {
    this.skewMs = (random.next() * 2 - 1) * MAX_SKEW_MS;
    this.clockRate = 1 + (random.next() * 2 - 1) * MAX_DRIFT_RATIO;
    this.startedAtMs = queue.nowMs;
    this.limits = limits;
    [this.core, this.ledger] = this.createMember();
    this.every(timing.membership.heartbeatMs, random.next(), () => this.sendHeartbeats());
    this.every(FLUSH_PERIOD_MS, random.next(), () => this.flush());
    this.every(READ_PERIOD_MS, random.next(), () => this.read());
    this.every(LIST_PERIOD_MS, random.next(), () => this.readList());
  }

  get memberId(): MemberId {
    return this.core.memberId;
  }

  monotonicMs(): number {
    return (this.queue.nowMs - this.startedAtMs) * this.clockRate;
  }

  unixMs(): number {
    return this.platform.unixMs() + this.skewMs;
  }

  get isFenced(): boolean {
    return this.core.fenceReason(this.monotonicMs()) !== undefined;
  }

  get isPaused(): boolean {
    return this.queue.nowMs < this.pausedUntilMs;
  }

  crash(): void {
    this.crashed = true;
  }

  pause(forMs: number): void {
    this.pausedUntilMs = Math.max(this.pausedUntilMs, this.queue.nowMs + forMs);
    this.queue.after(forMs, () => this.wake());
  }

  resume(): void {
    this.pausedUntilMs = 0;
    this.wake();
  }

  /** Begins a graceful shutdown. */
  stop(): void {
    this.runInProcess(() => {
      this.stopping = true;
      this.stopStartedAtMs = this.monotonicMs();
      this.ledger.handOver();
    });
  }

  setLimits(limits: LimitsInForce): void {
    this.limits = limits;
    this.runInProcess(() => this.ledger.setLimits(limits));
  }

  receive(fromEntryId: string, message: PeerMessage): void {
    this.runInProcess(() => this.dispatch(fromEntryId, message));
  }

  release(useId: string): void {
    this.runInProcess(() => {
      this.ledger.release(useId, this.monotonicMs());
      this.workload.startQueued(this);
    });
  }

  /** Acquires a credit if this node may start work now. */
  tryStart(teamId: TeamId): { readonly useId: string; readonly acquiredAtMs: number } | undefined {
    const unixMs = this.unixMs();
    if (this.crashed || this.isPaused || this.isFenced) return undefined;
    return this.ledger.tryAcquire(teamId, unixMs);
  }

  /** Runs an action in the process: dropped after a crash, deferred while the process is paused. */
  runInProcess(action: () => void): void {
    if (this.crashed) return;
    if (this.isPaused) this.waiting.push(action);
    else action();
  }

  private createMember(): [MembershipCore, CreditLedger] {
    this.incarnation += 1;
    const incarnation = `${this.generation}.${this.incarnation}`;
    const { membership, credits } = this.timing;
    const core = new MembershipCore({ entryId: this.entryId, incarnation, timing: membership });
    const ledger = new CreditLedger(this.entryId, core.memberId, credits);
    ledger.setLimits(this.limits);
    return [core, ledger];
  }

  private every(periodMs: number, phase: number, action: () => void): void {
    const next = (): void => {
      if (this.crashed) return;
      if (!this.isPaused) action();
      this.queue.after(periodMs / this.clockRate, next);
    };
    this.queue.after(periodMs * phase, next);
  }

  private wake(): void {
    if (this.crashed || this.isPaused) return;
    const { waiting } = this;
    this.waiting = [];
    waiting.forEach((action) => action());
  }

  private dispatch(fromEntryId: string, message: PeerMessage): void {
    const nowMs = this.monotonicMs();
    if (message.kind === 'heartbeat') this.core.handleHeartbeat(fromEntryId, message, nowMs);
    if (message.kind === 'credit-demand') this.ledger.handleDemand(fromEntryId, message, nowMs);
    if (message.kind === 'credit-receipt') this.ledger.handleReceipt(fromEntryId, message);
    if (message.kind !== 'credit-transfer') return;
    this.ledger.handleTransfer(fromEntryId, message, nowMs);
    this.workload.startQueued(this);
  }

  private sendHeartbeats(): void {
    const nowMs = this.monotonicMs();
    this.core.fence.tick(nowMs);
    const facts = {
      configVersion: 1,
      configOffset: 0,
      logReachable: true,
      stopping: this.stopping,
    };
    this.core
      .heartbeats(nowMs, facts)
      .forEach(({ toEntryId, heartbeat }) => this.network.send(this.entryId, toEntryId, heartbeat));
    const live = this.core.liveMembers(nowMs, this.stopping).map(({ entryId }) => entryId);
    this.live = new Set(live);
    const eviction = this.core.proposeEviction(nowMs, this.unixMs());
    if (eviction) this.append([eviction]);
  }

  private flush(): void {
    const nowMs = this.monotonicMs();
    this.workload.startQueued(this);
    const { messages, records } = this.ledger.flush(this.live, nowMs);
    messages.forEach(({ toEntryId, message }) =>
      this.network.send(this.entryId, toEntryId, message),
    );
    if (records.length > 0) this.append(records);
    if (this.stopping) this.finishStop();
  }

  private finishStop(): void {
    const withinTimeout = this.monotonicMs() - this.stopStartedAtMs < HAND_OVER_TIMEOUT_MS;
    if ((withinTimeout && !this.ledger.isHandedOver) || this.leaveAppended) return;
    this.leaveAppended = true;
    const idle = !this.ledger.hasRunning;
    this.append([{ kind: 'leave', memberId: this.memberId, idle }]);
    this.queue.after(RECORD_RETRY_MS, () => {
      this.leaveAppended = false;
    });
  }

  private append(records: readonly object[]): void {
    if (this.network.reachesLog(this.entryId)) this.platform.append(records);
  }

  private read(): void {
    if (this.readsInFlight > 0 || !this.network.reachesLog(this.entryId)) return;
    const sentAtMs = this.monotonicMs();
    this.readsInFlight += 1;
    this.queue.after(READ_ROUND_TRIP_MS / 2, () => {
      const records = this.platform.read(this.nextOffset);
      this.queue.after(READ_ROUND_TRIP_MS / 2, () => {
        this.runInProcess(() => this.applyPage(records, sentAtMs));
      });
    });
  }

  private applyPage(records: readonly LogRecord[], sentAtMs: number): void {
    this.readsInFlight -= 1;
    records.forEach((record) => this.applyRecord(record));
    this.core.fence.confirmByLog(sentAtMs);
    this.caughtUp = true;
    this.requestJoin();
    if (records.length > 0) this.workload.startQueued(this);
  }

  private applyRecord(record: LogRecord): void {
    const nowMs = this.monotonicMs();
    this.nextOffset = record.offset + 1;
    this.core.applyRecord(record, nowMs);
    this.ledger.applyRecord(record, nowMs);
    if (!this.core.isClosed) return;
    if (this.core.roster.get(this.memberId)?.status !== 'evicted' || this.stopping) {
      this.crash();
      return;
    }
    const { roster } = this.core;
    const { book } = this.ledger;
    [this.core, this.ledger] = this.createMember();
    this.core.load(record.offset, roster.toSnapshot(), nowMs);
    this.ledger.load(record.offset, book.toSnapshot(), nowMs);
  }

  private requestJoin(): void {
    const nowMs = this.monotonicMs();
    if (this.core.isActive || this.stopping || !this.caughtUp) return;
    if (nowMs - this.joinRequestedAtMs < RECORD_RETRY_MS) return;
    this.joinRequestedAtMs = nowMs;
    const incarnation = this.memberId.slice(this.entryId.length + 1);
    const address = '127.0.0.1:1';
    const record = { kind: 'join', entryId: this.entryId, incarnation, address, zoneId: 'a' };
    this.append([record]);
  }

  private readList(): void {
    this.core.handleList(this.platform.list(), this.monotonicMs());
  }
}
