/** Simulation of a fleet in virtual time, for property tests and benchmarks. */
export * from './EventQueue.js';
export * from './FaultPlanner.js';
export * from './FleetSimulation.js';
export * from './FleetTiming.js';
export * from './LedgerGroup.js';
export * from './SimulatedNode.js';
export * from './SimulatedPlatform.js';
export * from './SimulatedWork.js';
