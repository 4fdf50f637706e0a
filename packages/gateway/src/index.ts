/** Public interface of the gateway, which forwards requests from callers to targets. */
export * from './AcceptedRequest.js';
export * from './AnswerCounts.js';
export * from './CallerServer.js';
export * from './claims/AnswerStore.js';
export * from './claims/ClaimRegistry.js';
export * from './claims/ClaimHorizon.js';
export * from './claims/ClaimLedger.js';
export * from './claims/ClaimTable.js';
export * from './Gateway.js';
export * from './OpenRuns.js';
export * from './OpenTicket.js';
export * from './Problem.js';
export * from './RequestState.js';
export * from './TargetEnd.js';
export * from './DispatchClient.js';
