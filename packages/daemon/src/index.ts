/** Public interface: an entry that can run inside another process (demos, tests, benchmarks). */
export * from './Entry.js';
export * from './EntryTls.js';
export * from './OperatorRoute.js';
export * from './OperatorServer.js';
export * from './Settings.js';
export * from './loadSettings.js';
export * from './Maintenance.js';
