/** Interfaces of the platform services that acaciadock uses, and their HTTP adapters. */
export * from './LogService.js';
export * from './InstanceDirectory.js';
export * from './InstanceControl.js';
export * from './streams.js';
export * from './AppendBudget.js';
export * from './HttpPlatformClient.js';
export * from './HttpLogService.js';
export * from './HttpInstanceDirectory.js';
export * from './HttpInstanceControl.js';
export * from './SharedInstanceDirectory.js';
