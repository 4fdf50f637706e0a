/** Public interface: jobs, their state machine, their stored form and their configuration. */
export * from './JobSpec.js';
export * from './TaskState.js';
export * from './StepState.js';
export * from './Occurrence.js';
export * from './Job.js';
export * from './JobCodec.js';
export * from './ProgressPart.js';
export * from './criticalPath.js';
export * from './JobsConfig.js';
export * from './JobsConfigView.js';
