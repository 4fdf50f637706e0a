/**
 * Public interface: the configuration document, its log records and the reducer that applies them.
 */
export * from './ConfigDocument.js';
export * from './DocumentCheck.js';
export * from './DocumentPatch.js';
export * from './ConfigRecord.js';
export * from './ConfigHistory.js';
export * from './ConfigView.js';
export * from './ConfigReducer.js';
export * from './canonicalJson.js';
export * from './sameJson.js';
export * from './TeamKey.js';
export * from './emptyDocument.js';
export * from './configReference.js';
