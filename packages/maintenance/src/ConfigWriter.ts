/** How the controller submits a patch of the configuration. */
import { type PatchOperation } from '@acaciadock/config';

export interface MaintenancePatch {
  readonly patchId: string;
  /** The version that the operations were decided on: at any other the patch is refused. */
  readonly baseVersion: number;
  readonly operations: readonly PatchOperation[];
}

export type WriteOutcome =
  | { readonly kind: 'applied' }
  /** Another patch came first, or the result is not valid: decide again on the newer version. */
  | { readonly kind: 'refused' }
  /** The log did not take it. */
  | { readonly kind: 'not-written' }
  /** It may still take effect. Deciding again is safe, since the base version guards it. */
  | { readonly kind: 'unknown' };

export abstract class ConfigWriter {
  abstract write(patch: MaintenancePatch): Promise<WriteOutcome>;
}
