/** Public interface: the coordinator, its contracts and the job service that entries call. */
export * from './contracts/index.js';
export * from './Coordinator.js';
export * from './JobDecoder.js';
export * from './JobService.js';
export * from './LoadMeter.js';
export * from './Ownership.js';
export * from './TargetConnector.js';
export { LEASE_MS } from './TargetDriver.js';
export * from './WarmUp.js';
export * from './ZoneEvacuation.js';
