/** Public interface: logs, metrics and the service-level burn report. */
export * from './LastOutcomes.js';
export * from './BunyanLogger.js';
