/** Error-budget burn of the service-level objectives: recording, history, reports and alerts. */
export * from './BurnAlerts.js';
export * from './BurnHistory.js';
export * from './BurnRecorder.js';
export * from './BurnReport.js';
export * from './BurnSummary.js';
export * from './classifyOutcome.js';
export * from './MinuteTally.js';
export * from './ShareReport.js';
