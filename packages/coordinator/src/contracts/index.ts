/** Contracts of the external services that the coordinator depends on. */
export * from './AdviceService.js';
export * from './Capacity.js';
export * from './InstanceFleet.js';
export * from './TargetRegistry.js';
export * from './WaveReports.js';
