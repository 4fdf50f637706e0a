/**
 * Foresees which pool asks next, where pools ask for much in turn. It learns the order and the
 * length of turns from arrivals and says nothing before a pool's second turn.
 */

export interface PoolArrivals {
  readonly poolId: string;
  readonly cpuMilli: number;
}

export interface NextTurn {
  readonly poolId: string;
  /** Milliseconds until it is expected; negative if it is overdue. */
  readonly inMs: number;
}

/** A pool is in its turn while it has at least this share of all arrivals. */
const TURN_SHARE = 0.5;

/** A turn counts once it has lasted this long, in milliseconds. */
const SETTLE_MS = 600;

/** A turn of less than this, in milliseconds, was a swing of its neighbour's arrivals. */
const LEAST_TURN_MS = 2_000;

/** A turn that is overdue by this share of its length is not expected any more. */
const OVERDUE_SHARE = 0.4;

const LEAST_TURNS = 3;

interface Turn {
  readonly poolId: string;
  readonly startMs: number;
}

export class TurnForecast {
  private readonly turns: Turn[] = [];

  private candidate: Turn | undefined;

  /** The pool whose turn it is, if any. */
  get currentPoolId(): string | undefined {
    return this.turns.at(-1)?.poolId;
  }

  hasHadTurn(poolId: string): boolean {
    return this.turns.some((turn) => turn.poolId === poolId);
  }

  observe(pools: readonly PoolArrivals[], nowMs: number): void {
    const total = pools.reduce((sum, pool) => sum + pool.cpuMilli, 0);
    const hot = pools.find((pool) => total > 0 && pool.cpuMilli >= total * TURN_SHARE);
    if (!hot || hot.poolId === this.currentPoolId) {
      this.candidate = undefined;
      return;
    }
    if (this.candidate?.poolId !== hot.poolId) {
      this.candidate = { poolId: hot.poolId, startMs: nowMs };
    }
    if (nowMs - this.candidate.startMs < SETTLE_MS) return;
    this.begin(this.candidate);
    this.candidate = undefined;
  }

  /** A pool that is back after a moment has never stopped being the one whose turn it is. */
  private begin(turn: Turn): void {
    const current = this.turns.at(-1);
    const isBack = this.turns.at(-2)?.poolId === turn.poolId;
    if (current && isBack && turn.startMs - current.startMs < LEAST_TURN_MS) this.turns.pop();
    else this.turns.push(turn);
  }

  /** The next turn; undefined while it can't be told. */
  next(nowMs: number): NextTurn | undefined {
    const current = this.turns.at(-1);
    const lengthMs = this.typicalLengthMs();
    if (!current || lengthMs === undefined) return undefined;
    const poolId = this.successorOf(current.poolId);
    if (poolId === undefined) return undefined;
    const inMs = current.startMs + lengthMs - nowMs;
    return inMs < -lengthMs * OVERDUE_SHARE ? undefined : { poolId, inMs };
  }

  /** The median length of the turns that have ended; the first may have begun before us. */
  private typicalLengthMs(): number | undefined {
    if (this.turns.length < LEAST_TURNS) return undefined;
    const lengths = this.turns
      .slice(1)
      .map((turn, index) => turn.startMs - (this.turns[index]?.startMs ?? 0))
      .sort((a, b) => a - b);
    return lengths[Math.floor(lengths.length / 2)];
  }

  /** Who came after the pool when it last had its turn. */
  private successorOf(poolId: string): string | undefined {
    const former = this.turns.slice(0, -1);
    const last = former.findLastIndex((turn) => turn.poolId === poolId);
    return last < 0 ? undefined : this.turns[last + 1]?.poolId;
  }
}
