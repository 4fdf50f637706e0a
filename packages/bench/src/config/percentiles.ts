/** Percentiles of a small sample by the nearest-rank method. */

export interface Percentiles {
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

export function percentiles(values: readonly number[]): Percentiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (part: number): number =>
    sorted[Math.max(0, Math.ceil(part * sorted.length) - 1)] ?? Number.NaN;
  return { p50: at(0.5), p99: at(0.99), max: at(1) };
}
