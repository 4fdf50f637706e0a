/** Returns the `kind` field of a stream record, or an empty string if the record has none. */
export function kindOf(payload: unknown): string {
  if (typeof payload !== 'object' || payload === null || !('kind' in payload)) return '';
  return String(payload.kind);
}
