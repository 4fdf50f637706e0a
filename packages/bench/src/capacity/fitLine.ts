/** Fits a straight line through measured points by least squares. */

export interface Point {
  readonly size: number;
  readonly value: number;
}

export interface Line {
  /** Increase of the value per unit of size. */
  readonly slope: number;
  /** Value at size 0. */
  readonly base: number;
  /** Coefficient of determination; 1 means that all points lie on the line. */
  readonly fit: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

export function fitLine(points: readonly Point[]): Line {
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  const sizeVariation = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const covariation = points.reduce(
    (sum, { size, value }) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const slope = covariation / sizeVariation;
  const base = meanValue - slope * meanSize;
  const total = points.reduce((sum, { value }) => sum + (value - meanValue) ** 2, 0);
  const left = points.reduce((sum, { size, value }) => sum + (value - base - slope * size) ** 2, 0);
  return { slope, base, fit: total === 0 ? 1 : 1 - left / total };
}
