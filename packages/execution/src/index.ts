/** Public interface: the operations of targets and the tracking of their leases. */
export * from './TargetPort.js';
export * from './LeaseClock.js';
