/** Settings of one entry process, read from one JSON file and checked as a whole. */
import { entryIdSchema, zoneIdSchema } from '@acaciadock/core';
import { addressSchema } from '@acaciadock/config';
import { z } from 'zod';

export const settingsSchema = z.strictObject({
  schemaVersion: z.literal(1),
  /** The instance's id in the platform's list. */
  entryId: entryIdSchema,
  zoneId: zoneIdSchema,
  /** Where callers reach this entry; port 0 takes a free one. */
  callerAddress: addressSchema,
  /** Where operators reach this entry. */
  operatorAddress: addressSchema,
  /** Where other entries reach this entry. */
  peerAddress: addressSchema,
  platform: z.strictObject({ logUrl: z.url(), directoryUrl: z.url(), controlUrl: z.url() }),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export type Settings = z.infer<typeof settingsSchema>;
export type SettingsInput = z.input<typeof settingsSchema>;
