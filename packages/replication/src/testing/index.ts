/** Entries in virtual time, for the tests and benches of configuration. */
export * from './MemoryPeerHub.js';
export * from './MemoryPeerNetwork.js';
export * from './ModelEntry.js';
export * from './ModelFleet.js';
export * from './FaultSchedule.js';
