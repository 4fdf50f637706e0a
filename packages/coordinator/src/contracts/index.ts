/** What the coordinator needs from outside. */
export * from './AdviceService.js';
export * from './Capacity.js';
export * from './InstanceFleet.js';
export * from './TargetRegistry.js';
export * from './WaveReports.js';
