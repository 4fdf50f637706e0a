/**
 * Forecasts which pool will be in demand next where pools take turns: a turn is a period in which
 * one pool receives at least half of all arrivals. The order and the length of turns are learned
 * from the arrivals. Until a pool has begun its second turn, the order is taken to be a round of all
 * pools: once each of them has had a turn, the one that has waited the longest is expected next.
 */

export interface PoolArrivals {
  readonly poolId: string;
  /** CPU needed to keep up with the arrivals, in thousandths of a core. */
  readonly cpuMilli: number;
}

export interface NextTurn {
  readonly poolId: string;
  /** Milliseconds until the turn is expected; negative if it is overdue. */
  readonly inMs: number;
}

/** Minimum fraction of all arrivals that a pool receives during its turn. */
const TURN_SHARE = 0.5;

/** A turn is recorded once it has lasted this long, in milliseconds. */
const CONFIRM_MS = 600;

/** A turn shorter than this, in milliseconds, is discarded if the turn before it resumes. */
const MIN_TURN_MS = 2_000;

/** The forecast is dropped when a turn is overdue by more than this fraction of the turn length. */
const OVERDUE_SHARE = 0.4;

/** Number of recorded turns from which the turn length is estimated. */
const MIN_TURNS = 3;

/** Turns kept: more than enough for the order of all pools and the typical length. */
const MAX_TURNS = 32;

/** Turns that the start of the next one is predicted from; an error of the length adds up over more. */
const PREDICTING_TURNS = 4;

export interface Turn {
  readonly poolId: string;
  /** Start on the monotonic clock of the process that observed it. */
  readonly startMs: number;
}

export class TurnForecast {
  private turns: Turn[] = [];

  private candidate: Turn | undefined;

  /** The turn that was removed last, because the one before it resumed. */
  private interrupted: Turn | undefined;

  /** The pools that were observed last. */
  private poolIds: readonly string[] = [];

  /** The pool whose turn was recorded last, if any. */
  get currentPoolId(): string | undefined {
    return this.turns.at(-1)?.poolId;
  }

  /** The recorded turns, oldest first. */
  get recorded(): readonly Turn[] {
    return this.turns;
  }

  /** Continues from the turns that another process has recorded. */
  restore(turns: readonly Turn[]): void {
    this.turns = [...turns];
  }

  hasHadTurn(poolId: string): boolean {
    return this.turns.some((turn) => turn.poolId === poolId);
  }

  observe(pools: readonly PoolArrivals[], nowMs: number): void {
    this.poolIds = pools.map(({ poolId }) => poolId);
    const total = pools.reduce((sum, pool) => sum + pool.cpuMilli, 0);
    const dominant = pools.find((pool) => total > 0 && pool.cpuMilli >= total * TURN_SHARE);
    if (!dominant || dominant.poolId === this.currentPoolId) {
      this.candidate = undefined;
      return;
    }
    if (this.candidate?.poolId !== dominant.poolId) {
      this.candidate = { poolId: dominant.poolId, startMs: nowMs };
    }
    if (nowMs - this.candidate.startMs < CONFIRM_MS) return;
    this.begin(this.candidate);
    this.candidate = undefined;
  }

  /**
   * Records a turn. If the current turn only interrupted the turn of the same pool briefly, it is
   * removed instead, and the earlier turn continues. If the removed turn goes on soon after, it began
   * when it was first seen.
   */
  private begin(turn: Turn): void {
    const current = this.turns.at(-1);
    const hasResumed = this.turns.at(-2)?.poolId === turn.poolId;
    if (current && hasResumed && turn.startMs - current.startMs < MIN_TURN_MS) {
      this.interrupted = this.turns.pop();
      return;
    }
    this.turns = [...this.turns, this.continued(turn)].slice(-MAX_TURNS);
    this.interrupted = undefined;
  }

  private continued(turn: Turn): Turn {
    const { interrupted } = this;
    const isSame = interrupted?.poolId === turn.poolId;
    return isSame && turn.startMs - interrupted.startMs < 2 * MIN_TURN_MS ? interrupted : turn;
  }

  /** Returns the next expected turn; undefined while there is no basis for a forecast. */
  next(nowMs: number): NextTurn | undefined {
    const current = this.turns.at(-1);
    const lengthMs = this.typicalLengthMs();
    if (!current || lengthMs === undefined) return undefined;
    const poolId = this.successorOf(current.poolId) ?? this.longestWaiting();
    if (poolId === undefined) return undefined;
    const inMs = this.nextStartMs(lengthMs) - nowMs;
    return inMs < -lengthMs * OVERDUE_SHARE ? undefined : { poolId, inMs };
  }

  /**
   * The earliest of the starts that recent turns predict for the next one. A turn is noticed late where
   * its first jobs are few or were kept away by an outage, but never early.
   */
  private nextStartMs(lengthMs: number): number {
    const recent = this.turns.slice(-PREDICTING_TURNS);
    return Math.min(
      ...recent.map(({ startMs }, index) => startMs + (recent.length - index) * lengthMs),
    );
  }

  /**
   * Median length of the turns that have ended. A single one is not enough, because the first may
   * have begun before the observation did and then appears too short. Of an even number of lengths, the
   * smaller one counts: a late notice of one turn makes the one before it appear too long.
   */
  private typicalLengthMs(): number | undefined {
    if (this.turns.length < MIN_TURNS) return undefined;
    const lengths = this.turns
      .slice(1)
      .map((turn, index) => turn.startMs - (this.turns[index]?.startMs ?? 0))
      .sort((a, b) => a - b);
    return lengths[Math.floor((lengths.length - 1) / 2)];
  }

  /** The pool whose turn followed the last ended turn of the given pool. */
  private successorOf(poolId: string): string | undefined {
    // Turns that have ended.
    const former = this.turns.slice(0, -1);
    const last = former.findLastIndex((turn) => turn.poolId === poolId);
    return last < 0 ? undefined : this.turns[last + 1]?.poolId;
  }

  /** The pool whose last turn is the longest ago; undefined while a pool has not had any. */
  private longestWaiting(): string | undefined {
    if (this.poolIds.length < 2) return undefined;
    if (!this.poolIds.every((poolId) => this.hasHadTurn(poolId))) return undefined;
    const lastTurns = this.poolIds.map((poolId) => ({
      poolId,
      index: this.turns.findLastIndex((turn) => turn.poolId === poolId),
    }));
    return lastTurns.sort((a, b) => a.index - b.index)[0]?.poolId;
  }
}
