/** Public interface: who may run how much of a team's work. */
export * from './CreditBook.js';
export * from './CreditLedger.js';
export * from './CreditLedgerTask.js';
export * from './CreditRecords.js';
export * from './CreditTiming.js';
export * from './LedgerRecords.js';
export * from './StaticSplit.js';
export * from './TeamBook.js';
export * from './TeamCredits.js';
