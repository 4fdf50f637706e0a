/** Interface through which the controller submits patches of the configuration. */
import { type PatchOperation } from '@acaciadock/config';

export interface MaintenancePatch {
  readonly patchId: string;
  /** Version that the operations are based on; the patch is refused at any other version. */
  readonly baseVersion: number;
  readonly operations: readonly PatchOperation[];
}

export type WriteOutcome =
  | { readonly kind: 'applied' }
  /** Another patch came first or the result is invalid; decide again on the newer version. */
  | { readonly kind: 'refused' }
  /** The log rejected the append or was unreachable. */
  | { readonly kind: 'not-written' }
  /** The patch may still take effect. Deciding again is safe because of the base version. */
  | { readonly kind: 'unknown' };

export abstract class ConfigWriter {
  abstract write(patch: MaintenancePatch): Promise<WriteOutcome>;
}
