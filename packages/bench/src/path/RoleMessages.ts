/** Messages that the child processes of the bench send to it. */
import { z } from 'zod';

export const roleMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ready'), addresses: z.array(z.string()) }),
  z.object({
    kind: z.literal('usage'),
    /** Processor time that the process has used since its start. */
    cpuMs: z.number(),
    rssBytes: z.number(),
    heapBytes: z.number(),
  }),
]);

export type RoleMessage = z.infer<typeof roleMessageSchema>;
export type RoleUsage = Extract<RoleMessage, { kind: 'usage' }>;
