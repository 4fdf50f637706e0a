/** Public interface: the interfaces to the store, the journal claim and group commit. */
export * from './RecordLog.js';
export * from './OwnershipGroup.js';
export * from './PeerNotices.js';
export * from './JournalClaim.js';
export * from './JournalCopy.js';
export { type CommitOutcome, joinOutcomes } from './Commit.js';
export * from './FittingRecord.js';
export * from './RecordEncoder.js';
export { encodeFitting, MAX_VALUE_BYTES } from './encodeFitting.js';
export * from './JournalWriter.js';
