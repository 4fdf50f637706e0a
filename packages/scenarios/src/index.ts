/** Public interface: a fleet of real entries for tests and benches. */
export * from './CallerAnswer.js';
export * from './EntryFleet.js';
