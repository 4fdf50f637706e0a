/**
 * The platform's list of live and leaving instances, both targets and entries. The list may be
 * outdated; `observedAtMs` is the time at which it was valid.
 */
import { instanceIdSchema } from '@acaciadock/core';
import { type Result } from 'neverthrow';
import { z } from 'zod';

export const listedInstanceSchema = z.object({
  instanceId: instanceIdSchema,
  role: z.enum(['target', 'entry']),
  state: z.enum(['live', 'leaving']),
});

export const instanceListSchema = z.object({
  /** When the platform observed this state, milliseconds since the Unix epoch. */
  observedAtMs: z.int(),
  instances: z.array(listedInstanceSchema),
});

export type ListedInstance = z.infer<typeof listedInstanceSchema>;
export type InstanceList = z.infer<typeof instanceListSchema>;

export type DirectoryFailure =
  | { readonly kind: 'directory-unreachable' }
  | { readonly kind: 'directory-malformed'; readonly detail: string };

export abstract class InstanceDirectory {
  abstract list(): Promise<Result<InstanceList, DirectoryFailure>>;
}
