/** Public interface: whole fleets in one process, for the promise tests and for benches. */
export * from './CallerAnswer.js';
export * from './EntryFleet.js';
export * from './fleet/deploymentDocument.js';
export * from './fleet/FleetLoad.js';
export * from './fleet/FleetObserver.js';
export * from './fleet/MaintenanceFleet.js';
