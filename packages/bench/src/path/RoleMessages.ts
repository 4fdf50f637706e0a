/** Messages between the bench and the processes that it starts. */
import { z } from 'zod';

export const roleMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ready'), addresses: z.array(z.string()) }),
  z.object({
    kind: z.literal('usage'),
    /** Processor time of the process since its start. */
    cpuMs: z.number(),
    rssBytes: z.number(),
    heapBytes: z.number(),
  }),
]);

export type RoleMessage = z.infer<typeof roleMessageSchema>;
export type RoleUsage = Extract<RoleMessage, { kind: 'usage' }>;
