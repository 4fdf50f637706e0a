/** Public interface: the shape of a bench and its bounds. */
export * from './Bench.js';
