/** Public interface: what stands between callers and targets. */
export * from './AcceptedRequest.js';
export * from './AnswerCounts.js';
export * from './CallerServer.js';
export * from './claims/AnswerStore.js';
export * from './claims/ClaimBook.js';
export * from './claims/ClaimHorizon.js';
export * from './claims/ClaimLedger.js';
export * from './claims/ClaimTable.js';
export * from './Gateway.js';
export * from './OpenRuns.js';
export * from './OpenTicket.js';
export * from './Problem.js';
export * from './RequestState.js';
export * from './TargetEnd.js';
export * from './TicketDesk.js';
