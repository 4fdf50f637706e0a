/** Public interface of the core package: utilities and contracts that every package uses. */
export * from './ids.js';
export * from './Disposable.js';
export * from './EventEmitter.js';
export * from './Clock.js';
export * from './SystemClock.js';
export * from './ManualClock.js';
export * from './Random.js';
export * from './Backoff.js';
export * from './Task.js';
export * from './contracts/ConfigFreshness.js';
export * from './contracts/CreditSource.js';
export * from './contracts/HomeMap.js';
export * from './contracts/Fence.js';
export * from './contracts/OutcomeRecorder.js';
export * from './contracts/Logger.js';
export * from './SilentLogger.js';
export * from './contracts/WorkView.js';
