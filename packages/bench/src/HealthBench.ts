/**
 * Measures outlier ejection, in virtual time: one of eight targets fails every request within 2 ms.
 * The figures are the share of attempts that it still receives, the success that callers of
 * idempotent work see, and the time until the target is ejected and, once it is healthy, used
 * again. The baseline is the choice of the least loaded target without ejection.
 */
import { Random, type TargetId } from '@acaciadock/core';
import { type HealthPolicy, OutlierEjection } from '@acaciadock/scheduling';
import { Bench, type BenchOptions, type BenchResult, checkBound } from './Bench.js';
import { NoEjection } from './scheduling/NoEjection.js';
import { PoolModel } from './scheduling/PoolModel.js';
import { VirtualClock } from './scheduling/VirtualClock.js';

const TARGETS = 8;
const SLOTS = 8;
const LOAD = 0.7;
const RUN_MS = 200;
const FAIL_MS = 2;
const FAULT_START_MS = 10_000;
const FAULT_END_MS = 70_000;
const END_MS = 130_000;
const FAILING_TARGET = 't0';
const MIN_SUCCESS_RATIO = 0.999;
const SAMPLE_MS = 10;
const DEADLINE_MS = 10_000;
const POLICY = { weights: { bufferCost: 1, rollOutTime: 2, moves: 1, shareError: 2 } };

interface Figures {
  /** Attempts sent to the failing target during the fault, divided by those to all targets. */
  readonly failingAttemptRatio: number;
  /** Fraction of the requests that arrived during the fault and succeeded in the end. */
  readonly successRatio: number;
  /** Over the entire run, not only during the fault. */
  readonly attemptsPerRequest: number;
  /** Time from the start of the fault to the ejection of `FAILING_TARGET`; infinite if never. */
  readonly ejectMs: number;
  /** Time from the end of the fault until that target is no longer ejected; infinite if never. */
  readonly returnMs: number;
  readonly peakEjected: number;
}

/**
 * Simulates a pool whose `failingTargets` fail every request between `FAULT_START_MS` and
 * `FAULT_END_MS`.
 */
function run(seed: number, health: HealthPolicy, failingTargets: readonly TargetId[]): Figures {
  const clock = new VirtualClock();
  const random = new Random(seed);
  const model = new PoolModel(
    clock,
    {
      targets: TARGETS,
      slotsPerTarget: SLOTS,
      shares: { a: 1, b: 1 },
      declaredRunMs: RUN_MS,
      health,
      policy: POLICY,
    },
    seed,
  );
  const meanGapMs = RUN_MS / (TARGETS * SLOTS * LOAD);
  const next = (): void => {
    if (clock.monotonicMs() >= END_MS) return;
    model.arrive({
      teamId: random.chance(0.5) ? 'a' : 'b',
      urgency: random.chance(0.5) ? 'urgent' : 'background',
      runMs: RUN_MS * (0.5 + random.next()),
      deadlineMs: DEADLINE_MS,
    });
    clock.after(random.exponential(meanGapMs), next);
  };
  next();
  const sent = (): number => [...model.sentTo.values()].reduce((sum, count) => sum + count, 0);
  let ejectedAtMs = Number.POSITIVE_INFINITY;
  let returnedAtMs = Number.POSITIVE_INFINITY;
  let peakEjected = 0;
  clock.runUntil(FAULT_START_MS);
  const sentBefore = sent();
  const failingBefore = model.sentTo.get(FAILING_TARGET) ?? 0;
  failingTargets.forEach((targetId) => model.failureMsByTarget.set(targetId, FAIL_MS));
  for (let nowMs = FAULT_START_MS; nowMs < FAULT_END_MS; nowMs += SAMPLE_MS) {
    clock.runUntil(nowMs);
    if (health.isEjected(FAILING_TARGET)) ejectedAtMs = Math.min(ejectedAtMs, nowMs);
    peakEjected = Math.max(peakEjected, health.ejectedCount);
  }
  const failingAttemptRatio =
    ((model.sentTo.get(FAILING_TARGET) ?? 0) - failingBefore) / (sent() - sentBefore);
  model.failureMsByTarget.clear();
  for (let nowMs = FAULT_END_MS; nowMs < END_MS; nowMs += SAMPLE_MS) {
    clock.runUntil(nowMs);
    if (!health.isEjected(FAILING_TARGET)) returnedAtMs = Math.min(returnedAtMs, nowMs);
  }
  clock.runUntil(END_MS + DEADLINE_MS);
  const endsDuringFault = model.ends.filter(
    ({ arrivedAtMs }) => arrivedAtMs >= FAULT_START_MS && arrivedAtMs < FAULT_END_MS,
  );
  return {
    failingAttemptRatio,
    successRatio:
      endsDuringFault.filter(({ succeeded }) => succeeded).length / endsDuringFault.length,
    attemptsPerRequest: sent() / model.ends.length,
    ejectMs: ejectedAtMs - FAULT_START_MS,
    returnMs: returnedAtMs - FAULT_END_MS,
    peakEjected,
  };
}

export class HealthBench extends Bench {
  readonly name = 'health';

  readonly summary =
    'a target that fails every request quickly: its share of work, and what callers see';

  async run({ seed }: BenchOptions): Promise<BenchResult> {
    const figures = run(seed, new OutlierEjection(new Random(seed)), [FAILING_TARGET]);
    this.print('outlier ejection', figures);
    this.print('least loaded without ejection', run(seed, new NoEjection(), [FAILING_TARGET]));
    const all = Array.from({ length: TARGETS }, (_, index) => `t${index}`);
    const outage = run(seed, new OutlierEjection(new Random(seed)), all);
    this.print('all targets fail', outage);
    return {
      bounds: [
        checkBound(
          'success seen by callers',
          figures.successRatio,
          'part',
          'at-least',
          MIN_SUCCESS_RATIO,
        ),
        checkBound(
          'share of the sick target',
          figures.failingAttemptRatio,
          'part',
          'at-most',
          1 / TARGETS,
        ),
        checkBound('ejected when all fail', outage.peakEjected, 'targets', 'at-most', TARGETS / 2),
        checkBound(
          'attempts for each request when all fail',
          outage.attemptsPerRequest,
          'ratio',
          'at-most',
          1.1,
        ),
      ],
    };
  }

  private print(name: string, figures: Figures): void {
    this.note(
      `${name}: the sick target gets ${(100 * figures.failingAttemptRatio).toFixed(3)} % of attempts, ` +
        `callers see ${(100 * figures.successRatio).toFixed(3)} % succeed, ejected after ` +
        `${figures.ejectMs} ms, back ${figures.returnMs} ms after it was well, ` +
        `${figures.attemptsPerRequest.toFixed(3)} attempts a request, most ejected ${figures.peakEjected}`,
    );
  }
}
