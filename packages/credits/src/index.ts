/** Public interface: fleet-wide enforcement of team limits by credits. */
export * from './CreditBook.js';
export * from './CreditLedger.js';
export * from './CreditLedgerTask.js';
export * from './CreditRecords.js';
export * from './CreditTiming.js';
export * from './LedgerOutbox.js';
export * from './StaticSplit.js';
export * from './TeamBook.js';
export * from './TeamCredits.js';
