/** Generates the faults of one simulated run from a seed. All times are virtual. */
import { Random } from '@acaciadock/core';

export type Fault =
  /** The process crashes. It may restart under the same entry id. */
  | { readonly kind: 'crash'; readonly node: number; readonly restartAfterMs: number | undefined }
  /** The process is paused; incoming messages are processed when it resumes. */
  | { readonly kind: 'pause'; readonly node: number; readonly forMs: number }
  /** A new entry starts and joins. */
  | { readonly kind: 'join' }
  /** A graceful shutdown. */
  | { readonly kind: 'stop'; readonly node: number }
  /** These nodes can only communicate with each other, and possibly with the log. */
  | {
      readonly kind: 'partition';
      readonly nodes: readonly number[];
      readonly logReachable: boolean;
      readonly forMs: number;
    }
  /** No node can read the log or append to it. */
  | { readonly kind: 'log-outage'; readonly forMs: number }
  /** The limit of a team is changed in the configuration. */
  | { readonly kind: 'limit'; readonly team: number; readonly limit: number }
  /**
   * The process is paused, and the platform's list omits the node although it has not ended. The
   * other members may therefore evict it before it resumes.
   */
  | { readonly kind: 'paused-out-of-sight'; readonly node: number; readonly forMs: number }
  /**
   * The nodes run, but are isolated and unlisted: they can only communicate with each other, cannot
   * reach the log, and are missing from the platform's list. To the other nodes this looks like the
   * loss of an availability zone.
   */
  | { readonly kind: 'out-of-sight'; readonly nodes: readonly number[]; readonly forMs: number }
  /** The nodes are unlisted: the platform's list omits them although they run and communicate. */
  | { readonly kind: 'short-list'; readonly nodes: readonly number[]; readonly forMs: number };

export interface TimedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

export interface FaultPlan {
  readonly seed: number;
  readonly nodes: number;
  readonly limits: readonly number[];
  readonly faults: readonly TimedFault[];
  /** Loss, duplication and delay on the peer network during the fault period. */
  readonly lossRatio: number;
  readonly duplicateRatio: number;
  readonly maxDelayMs: number;
  /** Probability that an append is lost, and the maximum delay of an append. */
  readonly appendLossRatio: number;
  readonly maxAppendDelayMs: number;
  /** Uses shortened timeouts, so that more happens in the same time. */
  readonly shortTiming: boolean;
  /** Probability that a queue holds requests, drawn each time the queue changes. */
  readonly busyRatio: number;
  /** Faults occur between `faultsBeginMs` and `faultsEndMs`. */
  readonly faultsBeginMs: number;
  readonly faultsEndMs: number;
}

export interface PlanSize {
  readonly minNodes: number;
  readonly maxNodes: number;
  readonly maxFaults: number;
  readonly faultPeriodMs: number;
}

export const DEFAULT_PLAN_SIZE: PlanSize = {
  minNodes: 3,
  maxNodes: 6,
  maxFaults: 6,
  faultPeriodMs: 12_000,
};

const FAULTS_BEGIN_MS = 2_500;
const TEAMS = 2;
const MAX_LIMIT = 24;
const MAX_FAULT_MS = 10_000;
const MAX_RESTART_MS = 3_000;

export class FaultPlanner {
  private readonly random: Random;

  constructor(
    private readonly seed: number,
    private readonly size: PlanSize = DEFAULT_PLAN_SIZE,
  ) {
    this.random = new Random(seed);
  }

  plan(): FaultPlan {
    const { random, size } = this;
    const nodes = random.integer(size.minNodes, size.maxNodes);
    const count = random.integer(1, size.maxFaults);
    const faults = Array.from({ length: count }, () => ({
      atMs: FAULTS_BEGIN_MS + random.integer(0, size.faultPeriodMs),
      fault: this.fault(nodes),
    }));
    return {
      seed: this.seed,
      nodes,
      limits: Array.from({ length: TEAMS }, () => this.limit()),
      faults: faults.sort((a, b) => a.atMs - b.atMs),
      lossRatio: random.pick([0, 0.02, 0.2, 0.5]) ?? 0,
      duplicateRatio: random.pick([0, 0.1, 0.3]) ?? 0,
      maxDelayMs: random.pick([5, 50, 1_500]) ?? 0,
      appendLossRatio: random.pick([0, 0, 0.3]) ?? 0,
      maxAppendDelayMs: random.pick([20, 200, 4_000]) ?? 0,
      shortTiming: random.chance(0.5),
      busyRatio: random.pick([0.3, 0.8, 1]) ?? 1,
      faultsBeginMs: FAULTS_BEGIN_MS,
      faultsEndMs: FAULTS_BEGIN_MS + size.faultPeriodMs,
    };
  }

  private fault(nodes: number): Fault {
    const { random } = this;
    const node = random.integer(0, nodes - 1);
    const forMs = random.integer(500, MAX_FAULT_MS);
    const some = random
      .shuffle(Array.from({ length: nodes }, (_, index) => index))
      .slice(0, random.integer(1, Math.max(1, nodes - 1)));
    const kinds: Fault[] = [
      { kind: 'crash', node, restartAfterMs: undefined },
      { kind: 'crash', node, restartAfterMs: random.integer(0, MAX_RESTART_MS) },
      { kind: 'pause', node, forMs },
      { kind: 'pause', node, forMs },
      { kind: 'join' },
      { kind: 'stop', node },
      { kind: 'partition', nodes: some, logReachable: random.chance(0.5), forMs },
      { kind: 'partition', nodes: some, logReachable: false, forMs },
      { kind: 'log-outage', forMs },
      { kind: 'limit', team: random.integer(0, TEAMS - 1), limit: this.limit() },
      { kind: 'limit', team: random.integer(0, TEAMS - 1), limit: this.limit() },
      { kind: 'short-list', nodes: some, forMs },
      { kind: 'out-of-sight', nodes: some, forMs: forMs + MAX_FAULT_MS / 2 },
      { kind: 'out-of-sight', nodes: [node], forMs: forMs + MAX_FAULT_MS / 2 },
      { kind: 'paused-out-of-sight', node, forMs: forMs + MAX_FAULT_MS / 2 },
    ];
    return random.pick(kinds) ?? { kind: 'join' };
  }

  private limit(): number {
    return this.random.integer(0, MAX_LIMIT);
  }
}
