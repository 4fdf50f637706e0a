/** Public interface: loggers, metrics and the error-budget burn report. */
export * from './BatchedOutput.js';
export * from './BoundedLogger.js';
export * from './BunyanLogger.js';
export * from './EventMetrics.js';
export * from './OutcomeCounter.js';
export * from './Metrics.js';
export * from './OutcomeFanOut.js';
export * from './RequestLog.js';
export * from './burn/index.js';
