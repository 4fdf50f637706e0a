/** Public interface: the interfaces to the store, the journal claim and group commit. */
export * from './RecordLog.js';
export * from './OwnershipGroup.js';
export * from './PeerNotices.js';
export * from './JournalClaim.js';
export * from './JournalCopy.js';
export { type CommitOutcome } from './Commit.js';
export * from './JournalWriter.js';
