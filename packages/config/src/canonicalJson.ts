/**
 * JSON text with sorted keys: two values that differ only in the order of their keys, or in the
 * sign of a zero, which JSON text does not keep, have the same text.
 */

function sorted(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sorted);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, part]) => [key, sorted(part)]),
  );
}

export function canonicalJson(value: unknown): string {
  return JSON.stringify(sorted(value));
}
