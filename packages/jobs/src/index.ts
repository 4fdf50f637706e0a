/** Public interface: jobs, their state machine and their durable form. */
export * from './JobSpec.js';
export * from './TaskState.js';
export * from './StepState.js';
export * from './Occurrence.js';
export * from './Job.js';
export * from './JobCodec.js';
export * from './chain.js';
export * from './JobsConfig.js';
export * from './JobsConfigView.js';
