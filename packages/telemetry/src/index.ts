/** Public interface: logs, metrics and the service-level burn report. */
export * from './BoundedLogger.js';
export * from './BunyanLogger.js';
export * from './EventMetrics.js';
export * from './LastOutcomes.js';
export * from './Metrics.js';
export * from './OutcomeFanOut.js';
export * from './RequestLog.js';
export * from './burn/index.js';
