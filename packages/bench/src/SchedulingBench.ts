/**
 * Measures how the cost of scheduling grows with the size: processor time per decision, and heap
 * per team, ticket and target, at several sizes up to 720 teams and 16,000 targets.
 */
import { Random } from '@acaciadock/core';
import { Bench, type BenchOptions, type BenchResult, checkBound } from './Bench.js';
import { heapBytes } from './heapBytes.js';
import { PoolModel } from './scheduling/PoolModel.js';
import { VirtualClock } from './scheduling/VirtualClock.js';

const TEAM_SIZES = [6, 90, 720];
const TARGET_SIZES = [64, 1_000, 16_000];
/**
 * The size whose heap is checked against its bound. A home dispatches to a few hundred targets, so
 * at least twice that many are checked.
 */
const CHECKED_TARGETS = 1_000;
const TICKET_SIZES = [1_000, 10_000, 50_000];
const RUN_MS = 1_000;
const DECISIONS_MEASURED = 60_000;
const SLOTS = 8;
const BYTES_PER_MB = 1024 * 1024;
/** A node may spend at most 1.3 % of a core and 64 MB on control. */
const MAX_CORE_RATIO = 0.013;
const MAX_CONTROL_MB = 64;
/**
 * Decisions per second of an entry today: 6 entries, 35 targets of 8 slots, runs of one second, and
 * three decisions per run (the ticket is offered, placed and ended).
 */
const DECISIONS_PER_SECOND_TODAY = (3 * 35 * SLOTS) / 6;

interface Size {
  readonly teams: number;
  readonly targets: number;
  /** Tickets that wait while all slots are taken. */
  readonly waiting: number;
}

interface Cost {
  readonly microsPerDecision: number;
  readonly heapBytes: number;
}

/**
 * Fills all slots of a pool and queues `waiting` further tickets, then measures the processor time of
 * decisions while new arrivals keep the queue at that length. The heap includes the pool model.
 */
function measure({ teams, targets, waiting }: Size, seed: number): Cost {
  const before = heapBytes();
  const random = new Random(seed);
  const clock = new VirtualClock();
  const teamIds = Array.from({ length: teams }, (_, index) => `team${index}`);
  const shares = Object.fromEntries(teamIds.map((teamId) => [teamId, random.integer(1, 8)]));
  const model = new PoolModel(
    clock,
    {
      targets,
      slotsPerTarget: SLOTS,
      shares,
      declaredRunMs: RUN_MS,
      keepEnds: false,
      maxQueuedPerTeam: 1_000_000,
    },
    seed,
  );
  const arrive = (): void => {
    model.arrive({
      teamId: random.pick(teamIds) ?? '',
      urgency: random.chance(0.3) ? 'urgent' : 'background',
      runMs: RUN_MS * (0.5 + random.next()),
      deadlineMs: 1e8,
    });
  };
  for (let arrival = 0; arrival < targets * SLOTS + waiting; arrival += 1) arrive();
  const heap = heapBytes() - before;
  if (model.decisions === 0) throw new RangeError('the scheduler made no decisions');
  const decisionsBefore = model.decisions;
  const cpu = process.cpuUsage();
  while (model.decisions - decisionsBefore < DECISIONS_MEASURED) {
    clock.step(Number.MAX_SAFE_INTEGER);
    if (model.scheduler.size < waiting) arrive();
  }
  const { user, system } = process.cpuUsage(cpu);
  return {
    microsPerDecision: (user + system) / (model.decisions - decisionsBefore),
    heapBytes: heap,
  };
}

/** Increase of the values per unit of size, between the first and the last size. */
function slope(sizes: readonly number[], values: readonly number[]): number {
  const last = sizes.length - 1;
  return ((values[last] ?? 0) - (values[0] ?? 0)) / ((sizes[last] ?? 0) - (sizes[0] ?? 0));
}

export class SchedulingBench extends Bench {
  readonly name = 'scheduling';

  readonly summary = 'growth of CPU per decision, and heap per team, ticket and target';

  async run({ seed }: BenchOptions): Promise<BenchResult> {
    // Warm-up, whose figures are discarded.
    measure({ teams: 6, targets: 64, waiting: 1_000 }, seed);
    const teams = this.sweep('teams', TEAM_SIZES, seed, (size) => ({
      teams: size,
      targets: 64,
      waiting: 5_000,
    }));
    const targets = this.sweep('targets', TARGET_SIZES, seed, (size) => ({
      teams: 6,
      targets: size,
      waiting: 1_000,
    }));
    this.sweep('waiting tickets', TICKET_SIZES, seed, (size) => ({
      teams: 6,
      targets: 64,
      waiting: size,
    }));
    const worst = Math.max(...teams.map(({ microsPerDecision }) => microsPerDecision));
    const coreRatio = (worst * DECISIONS_PER_SECOND_TODAY) / 1e6;
    const heapMb = (targets[TARGET_SIZES.indexOf(CHECKED_TARGETS)]?.heapBytes ?? 0) / BYTES_PER_MB;
    return {
      bounds: [
        checkBound('core for decisions, 720 teams', coreRatio, 'core', 'at-most', MAX_CORE_RATIO),
        checkBound(
          `heap, ${CHECKED_TARGETS} targets, all busy`,
          heapMb,
          'MB',
          'at-most',
          MAX_CONTROL_MB,
        ),
      ],
    };
  }

  private sweep(
    name: string,
    sizes: readonly number[],
    seed: number,
    sizeOf: (size: number) => Size,
  ): readonly Cost[] {
    const costs = sizes.map((size) => measure(sizeOf(size), seed));
    costs.forEach(({ microsPerDecision, heapBytes: bytes }, index) => {
      this.note(
        `${sizes[index]} ${name}: ${microsPerDecision.toFixed(2)} µs a decision, ` +
          `heap ${(bytes / BYTES_PER_MB).toFixed(2)} MB`,
      );
    });
    const bytes = slope(
      sizes,
      costs.map((cost) => cost.heapBytes),
    );
    const micros = slope(
      sizes,
      costs.map((cost) => cost.microsPerDecision),
    );
    this.note(
      `slope over ${name}: ${bytes.toFixed(0)} bytes and ${(1_000 * micros).toFixed(3)} ns a decision for each`,
    );
    return costs;
  }
}
