/** Public interface: who the entries are, which are alive, and which is home of a service. */
export * from './FixedMembership.js';
export * from './OpenFence.js';
export * from './RendezvousRanking.js';
