/** Public interface: pure decision logic for queue order, placement, pool sizes and upkeep. */
export * from './ArrivalMeter.js';
export * from './CopyPolicy.js';
export * from './TurnForecast.js';
export * from './QueueOrder.js';
export * from './RetryAfter.js';
export * from './RuntimeEstimates.js';
export * from './ShareMeter.js';
export * from './StragglerDetector.js';
export * from './TargetChooser.js';
export * from './TargetHealth.js';
export * from './OrderBudget.js';
export * from './PaceController.js';
export * from './FleetDivider.js';
export * from './PoolSizer.js';
export * from './UpkeepPlanner.js';
export * from './RejectedSizes.js';
