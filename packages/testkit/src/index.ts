/** Public interface: stand-ins for external systems, for tests, benchmarks and the demo. */
export * from './AnswerFaults.js';
export * from './HttpStandIn.js';
export * from './LogStore.js';
export * from './MemoryLogService.js';
export * from './LogStandIn.js';
export * from './DirectoryStandIn.js';
export * from './ControlStandIn.js';
export * from './TargetBehaviour.js';
export * from './TargetStandIn.js';
export * from './exampleDocument.js';
export * from './TestCertificates.js';
export * from './firstPatch.js';
export * from './loopbackSettings.js';
