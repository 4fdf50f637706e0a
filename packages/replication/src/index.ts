/** Public interface: the configuration in force at this entry. */
export * from './ConfigFollower.js';
export * from './PatchSubmitter.js';
