/** Public interface: who may run how much of a team's work. */
export * from './StaticSplit.js';
