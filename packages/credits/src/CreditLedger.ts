/**
 * The credits of one member. The log records which credits are granted to the member, and channels
 * track the transfers between members since then. Every credit that is transferred or burnt is
 * debited here first. The ledger does no I/O and reads no clock: callers pass in the time, messages
 * and records, and `flush` returns the messages to send and the records to append.
 */
import { type CreditUse, type EntryId, type TeamId } from '@acaciadock/core';
import { type MemberId } from '@acaciadock/membership';
import {
  type CreditDemand,
  type CreditReceipt,
  type CreditTransfer,
  type PeerMessage,
} from '@acaciadock/peers';
import { type LogRecord } from '@acaciadock/platform';
import { type BookChange, CreditBook } from './CreditBook.js';
import { CreditChannel } from './CreditChannel.js';
import { type CreditSnapshot } from './CreditRecords.js';
import { type CreditTiming, DEFAULT_CREDIT_TIMING } from './CreditTiming.js';
import { LedgerOutbox, type LimitsInForce } from './LedgerOutbox.js';
import { TeamAccount } from './TeamAccount.js';

/** Maximum number of teams in one demand message; the others follow in the next rounds. */
const MAX_TEAMS_PER_DEMAND = 32;

export interface AddressedMessage {
  readonly toEntryId: EntryId;
  readonly message: PeerMessage;
}

export interface LedgerOutput {
  readonly messages: readonly AddressedMessage[];
  readonly records: readonly object[];
}

export class CreditLedger {
  readonly book = new CreditBook();

  private readonly records: LedgerOutbox;

  private readonly accounts = new Map<TeamId, TeamAccount>();

  private readonly channels = new Map<MemberId, CreditChannel>();

  private readonly teamIdByUseId = new Map<string, TeamId>();

  /** Teams that may have credits to request, burn or transfer at the next flush. */
  private readonly active = new Set<TeamId>();

  private availableTeams = new Set<TeamId>();

  private lastUseNumber = 0;

  private nextPeerIndex = 0;

  private handingOver = false;

  constructor(
    readonly entryId: EntryId,
    readonly memberId: MemberId,
    private readonly timing: CreditTiming = DEFAULT_CREDIT_TIMING,
  ) {
    this.records = new LedgerOutbox(memberId, this.book, timing);
  }

  holding(teamId: TeamId): number {
    return this.accounts.get(teamId)?.holding ?? 0;
  }

  running(teamId: TeamId): number {
    return this.accounts.get(teamId)?.running ?? 0;
  }

  /** Whether no work runs and all free credits were handed over and acknowledged. */
  get isHandedOver(): boolean {
    const busy = [...this.accounts.values()].some(({ running }) => running > 0);
    const open = [...this.channels.values()].some(
      (channel) => channel.closedAtMs === undefined && channel.hasUnacknowledged,
    );
    return this.handingOver && !busy && !open;
  }

  get hasRunning(): boolean {
    return this.teamIdByUseId.size > 0;
  }

  /** Sets the limits of a newer configuration version. */
  setLimits(inForce: LimitsInForce): void {
    this.records.setLimits(inForce);
  }

  /**
   * Acquires one credit for work that may start now. The caller must have checked the fence. The
   * `epoch` of the result is the offset up to which the log was read here, for diagnosis only.
   */
  tryAcquire(teamId: TeamId, unixMs: number): CreditUse | undefined {
    const account = this.accounts.get(teamId);
    if (!account || this.handingOver || !this.book.roster.isActive(this.memberId)) return undefined;
    this.reserveForDebt(teamId, account);
    if (account.free <= 0) return undefined;
    account.start();
    this.lastUseNumber += 1;
    const useId = `${this.memberId}:${this.lastUseNumber}`;
    this.teamIdByUseId.set(useId, teamId);
    const { entryId, book } = this;
    return {
      useId,
      teamId,
      holderEntryId: entryId,
      epoch: Math.max(0, book.lastOffset),
      acquiredAtMs: unixMs,
    };
  }

  /** Releases a credit that was acquired from this ledger; other use ids have no effect. */
  release(useId: string, nowMs: number): void {
    const teamId = this.teamIdByUseId.get(useId);
    if (teamId === undefined) return;
    this.teamIdByUseId.delete(useId);
    const account = this.account(teamId);
    account.running -= 1;
    this.reserveForDebt(teamId, account);
    this.fulfilPledges(teamId, account, nowMs);
    this.recordAvailable(teamId, account);
    if (this.handingOver) this.active.add(teamId);
  }

  /** Sets the number of requests of a team that wait here for a credit. Valid for a short time. */
  setDemand(teamId: TeamId, count: number, nowMs: number): void {
    this.account(teamId).setDemand(count, nowMs);
    this.active.add(teamId);
  }

  /** Starts to transfer all free credits to the other members; no more credits can be acquired. */
  handOver(): void {
    this.handingOver = true;
    this.accounts.forEach((_, teamId) => this.active.add(teamId));
  }

  /** Applies the next record of the control stream. */
  applyRecord(record: LogRecord, nowMs: number): void {
    const change = this.book.reduce(record);
    if (!change) return;
    this.applyChange(change, nowMs);
    this.records.handleBookChange();
    this.records.forgetSettledMembers();
    this.refreshGranted(nowMs);
  }

  load(includedOffset: number, snapshot: CreditSnapshot, nowMs: number): void {
    this.book.load(includedOffset, snapshot);
    this.book.closingMembers().forEach((memberId) => this.close(memberId, nowMs));
    this.records.handleBookChange();
    this.refreshGranted(nowMs);
  }

  handleDemand(fromEntryId: EntryId, demand: CreditDemand, nowMs: number): void {
    if (!this.isActivePeer(fromEntryId, demand.memberId)) return;
    demand.wants.forEach(({ teamId, ...peerDemand }) => {
      const account = this.accounts.get(teamId);
      if (!account) return;
      this.reserveForDebt(teamId, account);
      const credits = account.answerDemand(demand.memberId, peerDemand, nowMs);
      if (credits > 0) this.transferTo(demand.memberId, teamId, account, credits);
    });
  }

  handleTransfer(fromEntryId: EntryId, transfer: CreditTransfer, nowMs: number): void {
    if (transfer.toMemberId !== this.memberId) return;
    if (!this.isActivePeer(fromEntryId, transfer.memberId)) return;
    const channel = this.channel(transfer.memberId);
    transfer.totals.forEach((total) => {
      const credits = channel.receive(total);
      if (credits === 0) return;
      const account = this.account(total.teamId);
      account.net += credits;
      account.resetDemandBackoff(nowMs);
      this.reserveForDebt(total.teamId, account);
      this.recordAvailable(total.teamId, account);
      if (this.handingOver) this.active.add(total.teamId);
    });
  }

  handleReceipt(fromEntryId: EntryId, receipt: CreditReceipt): void {
    if (receipt.toMemberId !== this.memberId) return;
    if (!this.isActivePeer(fromEntryId, receipt.memberId)) return;
    const channel = this.channel(receipt.memberId);
    receipt.totals.forEach((total) => channel.acknowledge(total));
  }

  /** Returns the messages to send and the records to append; `live` are the responsive entries. */
  flush(live: ReadonlySet<EntryId>, nowMs: number): LedgerOutput {
    const peers = this.selectDemandPeers(live);
    const wants = this.processActiveTeams(peers, nowMs);
    const messages = [
      ...this.demandMessages(peers, wants),
      ...[...this.channels].flatMap(([memberId, channel]) =>
        this.channelMessages(memberId, channel, nowMs),
      ),
    ];
    return { messages, records: this.records.dueRecords(this.channels, nowMs) };
  }

  /** Returns the teams that may have gained free credits since the last call. */
  takeAvailable(): readonly TeamId[] {
    const teamIds = [...this.availableTeams];
    this.availableTeams.clear();
    return teamIds;
  }

  private account(teamId: TeamId): TeamAccount {
    const known = this.accounts.get(teamId);
    if (known) return known;
    const account = new TeamAccount();
    this.accounts.set(teamId, account);
    return account;
  }

  private channel(memberId: MemberId): CreditChannel {
    const known = this.channels.get(memberId);
    if (known) return known;
    const channel = new CreditChannel();
    this.channels.set(memberId, channel);
    return channel;
  }

  /**
   * Whether both this member and the other one are active in the log as far as it was read here,
   * and the message comes from the other member's entry.
   */
  private isActivePeer(fromEntryId: EntryId, memberId: MemberId): boolean {
    const { roster } = this.book;
    if (memberId === this.memberId || !roster.isActive(this.memberId)) return false;
    const member = roster.get(memberId);
    return member?.status === 'active' && member.entryId === fromEntryId;
  }

  private applyChange(change: BookChange, nowMs: number): void {
    if (change.kind === 'roster') {
      const { change: rosterChange } = change;
      if (rosterChange.kind === 'closed') this.close(rosterChange.member.memberId, nowMs);
      else rosterChange.superseded.forEach(({ memberId }) => this.close(memberId, nowMs));
      return;
    }
    if (change.kind === 'limits') return;
    if (change.record.memberId !== this.memberId) return;
    if (change.kind === 'burnt') {
      change.record.burns.forEach(({ teamId, credits }) => {
        this.account(teamId).reservedForBurn -= credits;
      });
      return;
    }
    change.record.balances.forEach(({ teamId, net }) => {
      this.account(teamId).net -= net;
    });
    this.channels.delete(change.record.closedMemberId);
  }

  private close(memberId: MemberId, nowMs: number): void {
    if (memberId === this.memberId) return;
    const status = this.book.roster.get(memberId)?.status ?? 'evicted';
    this.records.recordClosedMember(memberId, status, nowMs);
    const channel = this.channels.get(memberId);
    if (channel) channel.closedAtMs ??= nowMs;
  }

  private refreshGranted(nowMs: number): void {
    this.book.teams().forEach((book, teamId) => {
      const granted = book.grantedTo(this.memberId);
      if (granted === 0 && book.debt === 0 && !this.accounts.has(teamId)) return;
      const account = this.account(teamId);
      account.granted = granted;
      this.reserveForDebt(teamId, account);
      if (account.free > 0 && account.shortage(nowMs) > 0) this.recordAvailable(teamId, account);
      if (this.handingOver) this.active.add(teamId);
    });
  }

  /**
   * While the team has debt, reserves free credits for burning before any other use. A pending burn
   * record may be in the log already, so its credits stay reserved until it has been read back,
   * even if the debt has been paid off otherwise.
   */
  private reserveForDebt(teamId: TeamId, account: TeamAccount): void {
    const debt = this.book.team(teamId)?.debt ?? 0;
    if (debt === 0 && account.reservedForBurn === 0) return;
    const pending = this.records.creditsInPendingBurn(teamId);
    const reserved = Math.max(
      pending,
      Math.min(debt, account.reservedForBurn + Math.max(0, account.free)),
    );
    Object.assign(account, { reservedForBurn: reserved });
    if (reserved > 0) this.active.add(teamId);
  }

  private fulfilPledges(teamId: TeamId, account: TeamAccount, nowMs: number): void {
    while (account.hasPledges && account.free > 0) {
      const memberId = account.takeNextPledge(nowMs);
      if (memberId === undefined) return;
      if (this.book.roster.isActive(memberId)) this.transferTo(memberId, teamId, account, 1);
    }
  }

  private transferTo(
    memberId: MemberId,
    teamId: TeamId,
    account: TeamAccount,
    credits: number,
  ): void {
    Object.assign(account, { net: account.net - credits });
    this.channel(memberId).send(teamId, credits);
  }

  private recordAvailable(teamId: TeamId, account: TeamAccount): void {
    if (account.free > 0) this.availableTeams.add(teamId);
  }

  /** Peers to ask in this round: all of them, or a rotating subset if there are many. */
  private selectDemandPeers(live: ReadonlySet<EntryId>): readonly MemberId[] {
    const peers = this.book.roster
      .active()
      .filter(({ memberId, entryId }) => memberId !== this.memberId && live.has(entryId))
      .map(({ memberId }) => memberId);
    const { demandFanOut } = this.timing;
    if (peers.length <= demandFanOut) return peers;
    const from = this.nextPeerIndex % peers.length;
    this.nextPeerIndex = from + demandFanOut;
    return [...peers, ...peers].slice(from, from + demandFanOut);
  }

  private processActiveTeams(peers: readonly MemberId[], nowMs: number): CreditDemand['wants'] {
    const wants: CreditDemand['wants'] = [];
    const reservedForBurn = new Map<TeamId, number>();
    this.active.forEach((teamId) => {
      const account = this.account(teamId);
      this.reserveForDebt(teamId, account);
      if (account.reservedForBurn > 0) reservedForBurn.set(teamId, account.reservedForBurn);
      if (this.handingOver) this.spreadFreeCredits(peers, teamId, account);
      else if (wants.length < MAX_TEAMS_PER_DEMAND) {
        const count = account.free > 0 ? 0 : account.dueDemand(peers.length, nowMs);
        const { holding } = account;
        const need = account.running + account.shortage(nowMs);
        if (count > 0) wants.push({ teamId, count, holding: Math.max(0, holding), need });
      }
      if (account.shortage(nowMs) === 0 && account.reservedForBurn === 0)
        this.active.delete(teamId);
    });
    this.records.prepareBurn(reservedForBurn);
    return wants;
  }

  private spreadFreeCredits(
    peers: readonly MemberId[],
    teamId: TeamId,
    account: TeamAccount,
  ): void {
    if (peers.length === 0 || account.free <= 0) return;
    const part = Math.floor(account.free / peers.length);
    const remainder = account.free % peers.length;
    peers.forEach((memberId, index) => {
      const credits = part + (index < remainder ? 1 : 0);
      if (credits > 0) this.transferTo(memberId, teamId, account, credits);
    });
  }

  private demandMessages(
    peers: readonly MemberId[],
    wants: CreditDemand['wants'],
  ): readonly AddressedMessage[] {
    if (wants.length === 0) return [];
    const { memberId } = this;
    return peers.map((peerId) => ({
      toEntryId: this.entryOf(peerId),
      message: { kind: 'credit-demand', memberId, wants },
    }));
  }

  private channelMessages(
    toMemberId: MemberId,
    channel: CreditChannel,
    nowMs: number,
  ): readonly AddressedMessage[] {
    if (channel.closedAtMs !== undefined) return [];
    const { memberId } = this;
    const toEntryId = this.entryOf(toMemberId);
    const due = [...channel.dueTotals(nowMs)];
    const confirmed = [...channel.takeAcknowledgements()];
    if (due.length + confirmed.length === 0) return [];
    const messages: AddressedMessage[] = [];
    if (due.length > 0) {
      const message = { kind: 'credit-transfer' as const, memberId, toMemberId, totals: due };
      messages.push({ toEntryId, message });
    }
    if (confirmed.length > 0) {
      const message = { kind: 'credit-receipt' as const, memberId, toMemberId, totals: confirmed };
      messages.push({ toEntryId, message });
    }
    return messages;
  }

  private entryOf(memberId: MemberId): EntryId {
    return this.book.roster.get(memberId)?.entryId ?? '';
  }
}
