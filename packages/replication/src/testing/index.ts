/** Model entries in virtual time, for tests and benchmarks of configuration replication. */
export * from './MemoryPeerHub.js';
export * from './MemoryPeerNetwork.js';
export * from './ModelEntry.js';
export * from './ModelFleet.js';
export * from './FaultSchedule.js';
