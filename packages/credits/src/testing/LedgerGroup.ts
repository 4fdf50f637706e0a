/** Ledgers that read a shared log independently, for tests of specific event sequences. */
import { type TeamId } from '@acaciadock/core';
import { type LogRecord } from '@acaciadock/platform';
import { CreditBook } from '../CreditBook.js';
import { type AddressedMessage, CreditLedger } from '../CreditLedger.js';

const START_UNIX_MS = 1_800_000_000_000;

export class LedgerGroup {
  readonly referenceBook = new CreditBook();

  readonly ledgers: readonly CreditLedger[];

  nowMs = 0;

  private readonly log: LogRecord[] = [];

  private readonly nextOffsets = new Map<CreditLedger, number>();

  constructor(entryIds: readonly string[]) {
    this.ledgers = entryIds.map((entryId) => new CreditLedger(entryId, `${entryId}:1`));
    entryIds.forEach((entryId) => this.join(entryId, '1'));
  }

  join(entryId: string, incarnation: string): void {
    this.append({ kind: 'join', entryId, incarnation, address: '127.0.0.1:1', zoneId: 'zone-a' });
  }

  append(payload: object): void {
    const offset = this.log.length;
    const record = { offset, appendedAtMs: START_UNIX_MS + this.nowMs, payload };
    this.log.push(record);
    this.referenceBook.reduce(record);
  }

  setLimit(configVersion: number, teamId: TeamId, limit: number): void {
    this.append({ kind: 'credit-limits', configVersion, limits: [{ teamId, limit }] });
  }

  /** Evicts a member by the vote of others. */
  evict(memberId: string, voterIds: readonly string[]): void {
    const sinceOffset = this.referenceBook.roster.changedOffset;
    const expiresAtMs = START_UNIX_MS + this.nowMs;
    const vote = { voterIds, sinceOffset, expiresAtMs, massLoss: false };
    this.append({ kind: 'evict', memberId, ...vote });
  }

  /** Makes these ledgers read the log to its end. */
  catchUp(...ledgers: readonly CreditLedger[]): void {
    ledgers.forEach((ledger) => {
      const from = this.nextOffsets.get(ledger) ?? 0;
      this.log.slice(from).forEach((record) => ledger.applyRecord(record, this.nowMs));
      this.nextOffsets.set(ledger, this.log.length);
    });
  }

  /** Flushes a ledger: appends its records to the log and returns its messages. */
  flush(ledger: CreditLedger): readonly AddressedMessage[] {
    const live = new Set(this.ledgers.map(({ entryId }) => entryId));
    const { messages, records } = ledger.flush(live, this.nowMs);
    records.forEach((record) => this.append(record));
    return messages;
  }

  deliver(from: CreditLedger, messages: readonly AddressedMessage[]): void {
    messages.forEach(({ toEntryId, message }) => {
      const to = this.ledgers.find(({ entryId }) => entryId === toEntryId);
      if (!to) return;
      if (message.kind === 'credit-demand') to.handleDemand(from.entryId, message, this.nowMs);
      if (message.kind === 'credit-transfer') to.handleTransfer(from.entryId, message, this.nowMs);
      if (message.kind === 'credit-receipt') to.handleReceipt(from.entryId, message);
    });
  }
}
