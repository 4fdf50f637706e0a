/** Public interface of the package: the base class of a bench, and its bounds. */
export * from './Bench.js';
