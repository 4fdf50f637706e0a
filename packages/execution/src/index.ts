/** Public interface: the contract of targets and what is certain of their leases. */
export * from './TargetPort.js';
export * from './LeaseClock.js';
