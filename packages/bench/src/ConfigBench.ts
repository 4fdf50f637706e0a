/**
 * Measures the distribution of the configuration: how soon a change or the withdrawal of a key is
 * in force at eight entries that read a log over HTTP, how fast an entry starts, whether an entry
 * ever reverts to an older version under faults, and what a patch costs at the stated size.
 */
import { FaultSchedule } from '@acaciadock/replication/testing';
import { checkBound, Bench, type BenchOptions, type BenchResult, type Bound } from './Bench.js';
import { ConfigFleet } from './config/ConfigFleet.js';
import { measureReduction } from './config/reductionCost.js';
import { measureStart } from './config/startCost.js';
import { percentiles } from './config/percentiles.js';

const MAX_IN_FORCE_MS = 8_000;
/** Bound on the median and the 99th percentile while the log is healthy. */
const MAX_HEALTHY_IN_FORCE_MS = 1_000;
const MAX_URGENT_START_MS = 5_600;
const SCHEDULES = 1_000;
const LONG_SCHEDULES = 10_000;
const CHANGES_A_DAY = 44_000;
const DAY_SECONDS = 86_400;
/** Fraction of a core that control as a whole may use on a node. */
const MAX_CONTROL_CORE_RATIO = 0.013;

export class ConfigBench extends Bench {
  override readonly name = 'config';

  override readonly summary = 'configuration: propagation, starts, reverts, cost of a patch';

  override async run(options: BenchOptions): Promise<BenchResult> {
    const bounds = [
      ...(await this.propagationBounds(options)),
      ...(await this.startBounds()),
      ...(await this.revertBounds(options)),
      ...this.reductionBounds(),
    ];
    return { bounds };
  }

  private async propagationBounds({ long }: BenchOptions): Promise<Bound[]> {
    const fleet = await ConfigFleet.start();
    const slow = await fleet.changes({ perSecond: 0.5, changes: long ? 60 : 5 });
    const fast = await fleet.changes({ perSecond: 20, changes: long ? 1_200 : 100 });
    const keys = await fleet.measureKeyWithdrawals({ perSecond: 20, changes: long ? 400 : 40 });
    await fleet.stop();
    return [
      ...this.durationBounds('in force everywhere, 0.5 changes a second', slow),
      ...this.durationBounds('in force everywhere, 20 changes a second', fast),
      ...this.durationBounds('key withdrawn everywhere, 20 changes a second', keys),
    ];
  }

  private durationBounds(name: string, durationsMs: readonly number[]): Bound[] {
    const { p50, p99, max } = percentiles(durationsMs);
    this.note(`${name}: ${durationsMs.length} changes, p50 ${p50.toFixed(1)} ms`);
    return [
      checkBound(`${name}, p50`, p50, 'ms', 'at-most', MAX_HEALTHY_IN_FORCE_MS),
      checkBound(`${name}, p99`, p99, 'ms', 'at-most', MAX_HEALTHY_IN_FORCE_MS),
      checkBound(`${name}, maximum`, max, 'ms', 'at-most', MAX_IN_FORCE_MS),
    ];
  }

  private async startBounds(): Promise<Bound[]> {
    const { fromSnapshotMs, fullReplayMs } = await measureStart(CHANGES_A_DAY);
    this.note(
      `start from a snapshot ${fromSnapshotMs.toFixed(0)} ms, without ${fullReplayMs.toFixed(0)} ms`,
    );
    return [
      checkBound(
        `start from a snapshot with ${CHANGES_A_DAY} changes behind it`,
        fromSnapshotMs,
        'ms',
        'at-most',
        MAX_URGENT_START_MS,
      ),
      checkBound(
        `start by reading ${CHANGES_A_DAY} changes without a snapshot`,
        fullReplayMs,
        'ms',
        'at-most',
        2 * MAX_IN_FORCE_MS,
      ),
    ];
  }

  private async revertBounds({ seed, long }: BenchOptions): Promise<Bound[]> {
    const count = long ? LONG_SCHEDULES : SCHEDULES;
    const totals = {
      reverts: 0,
      divergences: 0,
      falseAnswers: 0,
      unconverged: 0,
      versions: 0,
      restarts: 0,
    };
    for (let index = 0; index < count; index += 1) {
      const verdict = await new FaultSchedule(seed + index).run();
      totals.reverts += verdict.reverts;
      totals.divergences += verdict.divergences;
      totals.falseAnswers += verdict.falseAnswers;
      totals.unconverged += verdict.converged ? 0 : 1;
      totals.versions += verdict.versions;
      totals.restarts += verdict.restarts;
    }
    this.note(`${count} schedules: ${totals.versions} versions, ${totals.restarts} restarts`);
    const name = `in ${count} schedules of faults`;
    return [
      checkBound(`schedules of faults`, count, 'schedules', 'at-least', SCHEDULES),
      checkBound(`reverts ${name}`, totals.reverts, 'reverts', 'exactly', 0),
      checkBound(`different documents ${name}`, totals.divergences, 'versions', 'exactly', 0),
      checkBound(`false answers ${name}`, totals.falseAnswers, 'answers', 'exactly', 0),
      checkBound(`not converged ${name}`, totals.unconverged, 'schedules', 'exactly', 0),
    ];
  }

  private reductionBounds(): Bound[] {
    const { teamMs, instanceMs, fullCheckMs, snapshotCheckMs } = measureReduction();
    this.note(`check of the whole document ${fullCheckMs.toFixed(1)} ms`);
    this.note(`check of a snapshot that was read past ${snapshotCheckMs.toFixed(1)} ms`);
    this.note(
      `patch to a team ${teamMs.toFixed(3)} ms, to an instance ${instanceMs.toFixed(3)} ms`,
    );
    const coreRatio = (instanceMs / 1_000) * (CHANGES_A_DAY / DAY_SECONDS);
    return [
      checkBound(
        'core taken by reducing 44,000 patches a day, all to instances',
        coreRatio,
        'core',
        'at-most',
        MAX_CONTROL_CORE_RATIO,
      ),
    ];
  }
}
