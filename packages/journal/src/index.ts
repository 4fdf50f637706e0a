/** Public interface: the store's contracts, claim and group commit. */
export * from './RecordLog.js';
export * from './OwnershipGroup.js';
export * from './PeerNotices.js';
export * from './JournalClaim.js';
export * from './JournalWriter.js';
