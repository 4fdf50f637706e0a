/** All benches, in the order in which `npm run bench` runs them. A bench is loaded on first use. */
import { type Bench } from './Bench.js';

type BenchLoader = () => Promise<Bench>;

export const BENCHES: Readonly<Record<string, BenchLoader>> = {
  capacity: async () => new (await import('./CapacityBench.js')).CapacityBench(),
  config: async () => new (await import('./ConfigBench.js')).ConfigBench(),
  credits: async () => new (await import('./CreditsBench.js')).CreditsBench(),
  plan: async () => new (await import('./PlanBench.js')).PlanBench(),
  share: async () => new (await import('./ShareBench.js')).ShareBench(),
  burst: async () => new (await import('./BurstBench.js')).BurstBench(),
  overload: async () => new (await import('./OverloadBench.js')).OverloadBench(),
  health: async () => new (await import('./HealthBench.js')).HealthBench(),
  scheduling: async () => new (await import('./SchedulingBench.js')).SchedulingBench(),
  rollout: async () => new (await import('./RollOutBench.js')).RollOutBench(),
  outcomes: async () => new (await import('./OutcomesBench.js')).OutcomesBench(),
  path: async () => new (await import('./PathBench.js')).PathBench(),
  claims: async () => new (await import('./ClaimsBench.js')).ClaimsBench(),
};
