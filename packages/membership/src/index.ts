/** Public interface: the roster of entries, their liveness, and the home entry of each service. */
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
