/**
 * Canonical JSON: text with sorted keys. Two values that differ only in the order of their keys, or
 * in the sign of a zero, which JSON does not preserve, have the same text.
 */

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, part]) => [key, sortKeys(part)]),
  );
}

export function canonicalJson(value: unknown): string {
  return JSON.stringify(sortKeys(value));
}
