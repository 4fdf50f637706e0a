/** All benches, in the order in which `npm run bench` runs them. Each is loaded when it is run. */
import { type Bench } from './Bench.js';

type BenchLoader = () => Promise<Bench>;

export const BENCHES: Readonly<Record<string, BenchLoader>> = {
  config: async () => new (await import('./ConfigBench.js')).ConfigBench(),
  rollout: async () => new (await import('./RollOutBench.js')).RollOutBench(),
};
