/** What every bench has in common: a name, a seeded run, and bounds that come from the target. */

export interface BenchOptions {
  readonly seed: number;
  /** The full run, which may take longer than the default's 50 seconds. */
  readonly long: boolean;
}

/** How a figure is held against its bound. */
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

/** A measured figure beside its bound. */
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

  /** One line on what is measured. */
  abstract readonly summary: string;

  /** Runs the bench. Figures without a bound go to stderr as plain lines. */
  abstract run(options: BenchOptions): Promise<BenchResult>;

  /** Prints a figure or a note that has no bound. */
  protected note(text: string): void {
    console.error(`${this.name}: ${text}`);
  }
}
