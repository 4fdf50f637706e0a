/**
 * Public interface of the package: the dispatcher, the scheduling algorithms it is built from, and
 * the views of running work that gateways and the maintenance controller use.
 */
export * from './Admission.js';
export * from './Dispatcher.js';
export * from './FairQueue.js';
export * from './FleetUsage.js';
export * from './FleetWork.js';
export * from './HealthPolicy.js';
export * from './IndexedHeap.js';
export * from './LeavingWatch.js';
export * from './OutlierEjection.js';
export * from './PoolHomes.js';
export * from './PoolScheduler.js';
export * from './PoolTargets.js';
export * from './PoolView.js';
export * from './QueueDiscipline.js';
export * from './RetryBudget.js';
export * from './RunTimeEstimator.js';
export * from './SchedulingPolicy.js';
export * from './WaitingTicket.js';
export * from './WorkReporter.js';
