/** Simulations in virtual time of the store, the fleet, the targets and the network to them. */
export * from './PausableClock.js';
export * from './RecordingLogger.js';
export * from './RunObserver.js';
export * from './SimulatedFleet.js';
export * from './SimulatedGroup.js';
export * from './SimulatedLog.js';
export * from './SimulatedPort.js';
export * from './SimulatedStore.js';
export * from './SimulatedTarget.js';
export { RUNTIMES_KEY } from '../RuntimeRecord.js';
