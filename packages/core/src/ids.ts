/**
 * Identifiers shared by all packages. Each is a short printable name that can be used unescaped in
 * a URL path, a metric label and a log line.
 */
import * as z from 'zod';

const MAX_ID_CHARACTERS = 128;

/** Letters, digits, dots, dashes, underscores and colons; begins with a letter or digit. */
export const idSchema = z
  .string()
  .max(MAX_ID_CHARACTERS)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._:-]*$/);

export const entryIdSchema = idSchema;
export const instanceIdSchema = idSchema;
export const poolIdSchema = idSchema;
export const rackIdSchema = idSchema;
export const serviceIdSchema = idSchema;
export const teamIdSchema = idSchema;
export const zoneIdSchema = idSchema;
export const regionIdSchema = idSchema;

/** One process of the acaciadock service itself. */
export type EntryId = z.infer<typeof entryIdSchema>;
/** An instance of the fleet. */
export type InstanceId = z.infer<typeof instanceIdSchema>;
/** An instance in its role as the back end that runs requests. */
export type TargetId = InstanceId;
export type PoolId = z.infer<typeof poolIdSchema>;
export type RackId = z.infer<typeof rackIdSchema>;
export type ServiceId = z.infer<typeof serviceIdSchema>;
export type TeamId = z.infer<typeof teamIdSchema>;
/** An availability zone. */
export type ZoneId = z.infer<typeof zoneIdSchema>;
export type RegionId = z.infer<typeof regionIdSchema>;
export type RequestId = string;
