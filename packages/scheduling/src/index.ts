/**
 * Public interface of the package: the dispatcher, the scheduling algorithms it is built from, the
 * gateway's reports of the grants that it holds, and the fleet's open grants on closed instances.
 *
 * Terms used throughout the package:
 * - An entry is one process of the fleet. It is a gateway for the callers connected to it, and may
 *   be the home of pools.
 * - The home of a pool is the entry that queues the tickets of the pool's services and issues their
 *   grants. The other entries are ranked behind it and take over in that order.
 * - A ticket is a gateway's request to run one attempt of a caller's request.
 * - A grant is the permission of a home to run one ticket on one target. It includes a slot of the
 *   target and a credit, i.e. the permission to run one more request of the team.
 * - A placement is a ticket that was given a slot and a credit, before and after its grant is sent.
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
