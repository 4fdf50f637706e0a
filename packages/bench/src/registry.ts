/** All benches, in the order in which `npm run bench` runs them. Each is loaded when it is run. */
import { type Bench } from './Bench.js';

type BenchLoader = () => Promise<Bench>;

export const BENCHES: Readonly<Record<string, BenchLoader>> = {
  rollout: async () => new (await import('./RollOutBench.js')).RollOutBench(),
  outcomes: async () => new (await import('./OutcomesBench.js')).OutcomesBench(),
  path: async () => new (await import('./PathBench.js')).PathBench(),
  claims: async () => new (await import('./ClaimsBench.js')).ClaimsBench(),
};
