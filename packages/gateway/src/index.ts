/** Public interface: what stands between callers and targets. */
export * from './CallerServer.js';
export * from './Problem.js';
export * from './RequestRunner.js';
export * from './TargetClient.js';
export * from './TicketDesk.js';
