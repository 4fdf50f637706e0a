/** The `kind` of a record of any user of a stream; an empty string if it has none. */
export function kindOf(payload: unknown): string {
  if (typeof payload !== 'object' || payload === null || !('kind' in payload)) return '';
  return String(payload.kind);
}
