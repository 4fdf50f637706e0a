/** Stand-ins in virtual time for the store, targets and the way to them. */
export * from './PausableClock.js';
export * from './RunObserver.js';
export * from './SimulatedFleet.js';
export * from './SimulatedGroup.js';
export * from './SimulatedLog.js';
export * from './SimulatedPort.js';
export * from './SimulatedStore.js';
export * from './SimulatedTarget.js';
