/** Public interface: who the entries are, which are alive, and which is home of a service. */
export * from './ControlStreamReader.js';
export * from './ControlStreamWriter.js';
export * from './EntryFence.js';
export * from './kindOf.js';
export * from './Membership.js';
export * from './MembershipCore.js';
export * from './MembershipRecords.js';
export * from './MembershipTiming.js';
export * from './OpenFence.js';
export * from './RendezvousRanking.js';
export * from './RosterState.js';
