/** The base class of all benches, and the bounds that measured figures are checked against. */

export interface BenchOptions {
  readonly seed: number;
  /** Whether to do the full run, which may take longer than the 50 seconds of the default run. */
  readonly long: boolean;
}

/** How a measured value is compared with its bound. */
export type BoundKind = 'at-most' | 'at-least' | 'exactly';

export interface Bound {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly bound: number;
  readonly kind: BoundKind;
  readonly ok: boolean;
}

export interface BenchResult {
  readonly bounds: readonly Bound[];
}

function satisfiesBound(kind: BoundKind, value: number, bound: number): boolean {
  if (kind === 'at-most') return value <= bound;
  if (kind === 'at-least') return value >= bound;
  return value === bound;
}

/** Compares a measured value with its bound. */
export function checkBound(
  name: string,
  value: number,
  unit: string,
  kind: BoundKind,
  limit: number,
): Bound {
  return { name, value, unit, bound: limit, kind, ok: satisfiesBound(kind, value, limit) };
}

export abstract class Bench {
  abstract readonly name: string;

  /** One line that says what the bench measures. */
  abstract readonly summary: string;

  /** Runs the bench. Figures that have no bound are printed to stderr as plain lines. */
  abstract run(options: BenchOptions): Promise<BenchResult>;

  /** Prints a figure without a bound, or a remark, to stderr. */
  protected note(text: string): void {
    console.error(`${this.name}: ${text}`);
  }
}
