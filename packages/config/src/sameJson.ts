/**
 * Whether two JSON values have the same text apart from the order of keys. JSON does not preserve the
 * sign of a zero, so 0 and -0 are equal here. A property that is undefined counts as present.
 */
export function sameJson(a: unknown, b: unknown): boolean {
  if (a === b) return true;
  if (typeof a !== 'object' || typeof b !== 'object' || a === null || b === null) return false;
  if (Array.isArray(a) !== Array.isArray(b)) return false;
  const keys = Object.keys(a);
  if (keys.length !== Object.keys(b).length) return false;
  return keys.every((key) => {
    if (!Object.hasOwn(b, key)) return false;
    return sameJson((a as Record<string, unknown>)[key], (b as Record<string, unknown>)[key]);
  });
}
