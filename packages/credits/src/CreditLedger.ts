/**
 * The credits of one member: the log says what was granted, channels say what has passed between
 * members since, and every credit that goes anywhere is taken out here first. Pure: it is told the
 * time and what arrived, and answers what to send and to append.
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
import { LedgerRecords, type LimitsInForce } from './LedgerRecords.js';
import { TeamAccount } from './TeamAccount.js';

/** Most teams named in one demand message; the others follow in the next rounds. */
const MOST_TEAMS_PER_DEMAND = 32;

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

  private readonly records: LedgerRecords;

  private readonly accounts = new Map<TeamId, TeamAccount>();

  private readonly channels = new Map<MemberId, CreditChannel>();

  private readonly uses = new Map<string, TeamId>();

  /** Teams that may have something to ask, to burn or to hand on. */
  private readonly active = new Set<TeamId>();

  private available = new Set<TeamId>();

  private nextUse = 0;

  private nextPeer = 0;

  private handingOver = false;

  constructor(
    readonly entryId: EntryId,
    readonly memberId: MemberId,
    private readonly timing: CreditTiming = DEFAULT_CREDIT_TIMING,
  ) {
    this.records = new LedgerRecords(memberId, this.book, timing);
  }

  holding(teamId: TeamId): number {
    return this.accounts.get(teamId)?.holding ?? 0;
  }

  running(teamId: TeamId): number {
    return this.accounts.get(teamId)?.running ?? 0;
  }

  /** Whether nothing runs and everything free was handed over and confirmed. */
  get isHandedOver(): boolean {
    const busy = [...this.accounts.values()].some(({ running }) => running > 0);
    const open = [...this.channels.values()].some(
      (channel) => channel.closedAtMs === undefined && channel.hasUnconfirmed,
    );
    return this.handingOver && !busy && !open;
  }

  get hasRunning(): boolean {
    return this.uses.size > 0;
  }

  /** The limits of a newer version of the configuration. */
  setLimits(inForce: LimitsInForce): void {
    this.records.setLimits(inForce);
  }

  /** Takes one credit for work that may start now. The caller has checked the fence. */
  tryAcquire(teamId: TeamId, unixMs: number): CreditUse | undefined {
    const account = this.accounts.get(teamId);
    if (!account || this.handingOver || !this.book.roster.isActive(this.memberId)) return undefined;
    this.payDebt(teamId, account);
    if (account.free <= 0) return undefined;
    account.start();
    this.nextUse += 1;
    const useId = `${this.memberId}:${this.nextUse}`;
    this.uses.set(useId, teamId);
    const { entryId, book } = this;
    return {
      useId,
      teamId,
      holderEntryId: entryId,
      epoch: Math.max(0, book.lastOffset),
      acquiredAtMs: unixMs,
    };
  }

  release(useId: string, nowMs: number): void {
    const teamId = this.uses.get(useId);
    if (teamId === undefined) return;
    this.uses.delete(useId);
    const account = this.account(teamId);
    account.running -= 1;
    this.payDebt(teamId, account);
    this.payPledges(teamId, account, nowMs);
    this.noteAvailable(teamId, account);
    if (this.handingOver) this.active.add(teamId);
  }

  want(teamId: TeamId, count: number, nowMs: number): void {
    this.account(teamId).want(count, nowMs);
    this.active.add(teamId);
  }

  /** Begins to give all free credits to the others; nothing more starts here. */
  handOver(): void {
    this.handingOver = true;
    this.accounts.forEach((_, teamId) => this.active.add(teamId));
  }

  /** Takes the next record of the control stream. */
  takeRecord(record: LogRecord, nowMs: number): void {
    const change = this.book.reduce(record);
    if (!change) return;
    this.follow(change, nowMs);
    this.records.bookChanged();
    this.records.noteSettled();
    this.refreshGranted(nowMs);
  }

  load(includedOffset: number, snapshot: CreditSnapshot, nowMs: number): void {
    this.book.load(includedOffset, snapshot);
    this.book.closingMembers().forEach((memberId) => this.close(memberId, nowMs));
    this.records.bookChanged();
    this.refreshGranted(nowMs);
  }

  takeDemand(fromEntryId: EntryId, demand: CreditDemand, nowMs: number): void {
    if (!this.mayDealWith(fromEntryId, demand.memberId)) return;
    demand.wants.forEach(({ teamId, ...want }) => {
      const account = this.accounts.get(teamId);
      if (!account) return;
      this.payDebt(teamId, account);
      const credits = account.giveTo(demand.memberId, want, nowMs);
      if (credits > 0) this.give(demand.memberId, teamId, account, credits);
    });
  }

  takeTransfer(fromEntryId: EntryId, transfer: CreditTransfer, nowMs: number): void {
    if (transfer.toMemberId !== this.memberId) return;
    if (!this.mayDealWith(fromEntryId, transfer.memberId)) return;
    const channel = this.channel(transfer.memberId);
    transfer.totals.forEach((total) => {
      const credits = channel.receive(total);
      if (credits === 0) return;
      const account = this.account(total.teamId);
      account.net += credits;
      account.askSoon(nowMs);
      this.payDebt(total.teamId, account);
      this.noteAvailable(total.teamId, account);
      if (this.handingOver) this.active.add(total.teamId);
    });
  }

  takeReceipt(fromEntryId: EntryId, receipt: CreditReceipt): void {
    if (receipt.toMemberId !== this.memberId) return;
    if (!this.mayDealWith(fromEntryId, receipt.memberId)) return;
    const channel = this.channel(receipt.memberId);
    receipt.totals.forEach((total) => channel.confirm(total));
  }

  /** What to send and to append now; `live` are the entries that answer. */
  flush(live: ReadonlySet<EntryId>, nowMs: number): LedgerOutput {
    const peers = this.peersToAsk(live);
    const wants = this.visitActive(peers, nowMs);
    const messages = [
      ...this.demands(peers, wants),
      ...[...this.channels].flatMap(([memberId, channel]) =>
        this.channelMessages(memberId, channel, nowMs),
      ),
    ];
    return { messages, records: this.records.due(this.channels, nowMs) };
  }

  /** Teams with free credits that may not have had one before; empties the list. */
  takeAvailable(): readonly TeamId[] {
    const teamIds = [...this.available];
    this.available.clear();
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

  /** Both are members as far as the log was read here, and the message is from that member. */
  private mayDealWith(fromEntryId: EntryId, memberId: MemberId): boolean {
    const { roster } = this.book;
    if (memberId === this.memberId || !roster.isActive(this.memberId)) return false;
    const member = roster.get(memberId);
    return member?.status === 'active' && member.entryId === fromEntryId;
  }

  private follow(change: BookChange, nowMs: number): void {
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
        this.account(teamId).aside -= credits;
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
    this.records.noteClosed(memberId, status, nowMs);
    const channel = this.channels.get(memberId);
    if (channel) channel.closedAtMs ??= nowMs;
  }

  private refreshGranted(nowMs: number): void {
    this.book.teams().forEach((book, teamId) => {
      const granted = book.grantedTo(this.memberId);
      if (granted === 0 && book.debt === 0 && !this.accounts.has(teamId)) return;
      const account = this.account(teamId);
      account.granted = granted;
      this.payDebt(teamId, account);
      if (account.free > 0 && account.shortage(nowMs) > 0) this.noteAvailable(teamId, account);
      if (this.handingOver) this.active.add(teamId);
    });
  }

  /** While the team's limit is exceeded, what is free is put aside before anything else. */
  private payDebt(teamId: TeamId, account: TeamAccount): void {
    const debt = this.book.team(teamId)?.debt ?? 0;
    if (debt === 0 && account.aside === 0) return;
    const pending = this.records.inPendingBurn(teamId);
    const wanted = Math.max(pending, Math.min(debt, account.aside + Math.max(0, account.free)));
    Object.assign(account, { aside: wanted });
    if (wanted > 0) this.active.add(teamId);
  }

  private payPledges(teamId: TeamId, account: TeamAccount, nowMs: number): void {
    while (account.hasPledges && account.free > 0) {
      const memberId = account.nextPledge(nowMs);
      if (memberId === undefined) return;
      if (this.book.roster.isActive(memberId)) this.give(memberId, teamId, account, 1);
    }
  }

  private give(memberId: MemberId, teamId: TeamId, account: TeamAccount, credits: number): void {
    Object.assign(account, { net: account.net - credits });
    this.channel(memberId).send(teamId, credits);
  }

  private noteAvailable(teamId: TeamId, account: TeamAccount): void {
    if (account.free > 0) this.available.add(teamId);
  }

  /** Entries to ask in this round: all, or a rotating part of many. */
  private peersToAsk(live: ReadonlySet<EntryId>): readonly MemberId[] {
    const peers = this.book.roster
      .active()
      .filter(({ memberId, entryId }) => memberId !== this.memberId && live.has(entryId))
      .map(({ memberId }) => memberId);
    const { askFanOut } = this.timing;
    if (peers.length <= askFanOut) return peers;
    const from = this.nextPeer % peers.length;
    this.nextPeer = from + askFanOut;
    return [...peers, ...peers].slice(from, from + askFanOut);
  }

  private visitActive(peers: readonly MemberId[], nowMs: number): CreditDemand['wants'] {
    const wants: CreditDemand['wants'] = [];
    const aside = new Map<TeamId, number>();
    this.active.forEach((teamId) => {
      const account = this.account(teamId);
      this.payDebt(teamId, account);
      if (account.aside > 0) aside.set(teamId, account.aside);
      if (this.handingOver) this.spread(peers, teamId, account);
      else if (wants.length < MOST_TEAMS_PER_DEMAND) {
        const count = account.free > 0 ? 0 : account.dueDemand(peers.length, nowMs);
        const { holding } = account;
        const need = account.running + account.shortage(nowMs);
        if (count > 0) wants.push({ teamId, count, holding: Math.max(0, holding), need });
      }
      if (account.shortage(nowMs) === 0 && account.aside === 0) this.active.delete(teamId);
    });
    this.records.offerBurn(aside);
    return wants;
  }

  private spread(peers: readonly MemberId[], teamId: TeamId, account: TeamAccount): void {
    if (peers.length === 0 || account.free <= 0) return;
    const part = Math.floor(account.free / peers.length);
    const extra = account.free % peers.length;
    peers.forEach((memberId, index) => {
      const credits = part + (index < extra ? 1 : 0);
      if (credits > 0) this.give(memberId, teamId, account, credits);
    });
  }

  private demands(
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
    const confirmed = [...channel.takeConfirmations()];
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
