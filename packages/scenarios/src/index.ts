/** Public interface: test fleets of entries, stand-ins and targets, used by tests and benchmarks. */
export * from './CallerAnswer.js';
export * from './EntryFleet.js';
export * from './fleet/deploymentDocument.js';
export * from './fleet/FleetLoad.js';
export * from './fleet/FleetObserver.js';
export * from './fleet/MaintenanceFleet.js';
export * from './processes/EntryProcess.js';
export { ProcessFleet } from './processes/ProcessFleet.js';
