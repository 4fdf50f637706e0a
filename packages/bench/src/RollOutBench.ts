/**
 * Reboots all 35 targets of each deployment under load through the real request path, with
 * shortened reboots. Further trials kill the controller at each step of a job, lose a rack in the
 * middle of a wave and, in the full run, kill an entry.
 */
import { SystemClock } from '@acaciadock/core';
import { type InstanceState } from '@acaciadock/maintenance';
import { DEPLOYMENT_TARGETS, type DeploymentName } from '@acaciadock/scenarios';
import { Bench, type BenchOptions, type BenchResult, type Bound, checkBound } from './Bench.js';
import { RollOutTrial, type TrialOptions, type TrialResult } from './rollout/RollOutTrial.js';

const TIMEOUT_MS = 40_000;
const SHORT_INSTANCES = 3;
const KILL_STATES: readonly InstanceState[] = ['draining', 'drained', 'rebooting', 'probing'];
const DEPLOYMENTS: readonly DeploymentName[] = ['bondwright', 'nha-an'];

interface NamedTrial {
  readonly name: string;
  readonly options: TrialOptions;
  readonly expectedReboots: number;
}

export class RollOutBench extends Bench {
  override readonly name = 'rollout';

  override readonly summary = 'all targets rebooted under load: cut runs, budgets, late work, time';

  override async run({ seed, long }: BenchOptions): Promise<BenchResult> {
    const whole = RollOutBench.fullTrials(seed);
    const faulty = RollOutBench.faultyTrials(seed, long);
    const results: [NamedTrial, TrialResult][] = [];
    // The trials spend most of their time waiting, so those of a group run in parallel.
    for (const group of [whole, faulty]) {
      const ended = await Promise.all(
        group.map(async (trial): Promise<[NamedTrial, TrialResult]> => {
          const result = await new RollOutTrial(trial.options, new SystemClock()).run();
          this.note(`${trial.name}: ${JSON.stringify(result)}`);
          return [trial, result];
        }),
      );
      results.push(...ended);
    }
    return { bounds: results.flatMap(([trial, result]) => RollOutBench.boundsOf(trial, result)) };
  }

  private static fullTrials(seed: number): NamedTrial[] {
    return DEPLOYMENTS.map((deployment) => ({
      name: deployment,
      options: { deployment, seed, timeoutMs: TIMEOUT_MS },
      expectedReboots: DEPLOYMENT_TARGETS,
    }));
  }

  private static faultyTrials(seed: number, long: boolean): NamedTrial[] {
    const instances = long ? DEPLOYMENT_TARGETS : SHORT_INSTANCES;
    const timeoutMs = long ? 3 * TIMEOUT_MS : TIMEOUT_MS;
    const base = { deployment: 'bondwright', seed, instances, timeoutMs } as const;
    const faults: [string, Partial<TrialOptions>][] = [
      ...KILL_STATES.map((killAt): [string, Partial<TrialOptions>] => [
        `controller killed at ${killAt}`,
        { killAt },
      ]),
      ['rack lost', { loseRack: true }],
    ];
    if (long) faults.push(['entry killed at draining', { killAt: 'draining', killEntry: true }]);
    return faults.map(([name, options]) => ({
      name,
      options: { ...base, ...options },
      expectedReboots: instances,
    }));
  }

  private static boundsOf(trial: NamedTrial, result: TrialResult): Bound[] {
    const { name, options, expectedReboots } = trial;
    const zero = (what: string, value: number): Bound =>
      checkBound(`${name}: ${what}`, value, 'count', 'exactly', 0);
    const bounds = [
      checkBound(
        `${name}: instances rebooted`,
        result.rebooted,
        'count',
        'exactly',
        expectedReboots,
      ),
      zero('instances rebooted twice', result.rebootedTwice),
      zero('runs cut by a reboot', result.cutRuns),
      zero('new work on a leaving target after 3 s', result.lateRuns),
      zero('budget breaches', result.budgetBreaches),
    ];
    // Requests that are open at a killed entry are cut with it, so they are not counted there.
    if (!options.killEntry) bounds.push(zero('requests cut', result.cutRequests));
    return bounds;
  }
}
