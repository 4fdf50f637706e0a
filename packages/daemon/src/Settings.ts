/** Settings of one entry process: one JSON file, checked as a whole before anything starts. */
import { entryIdSchema, zoneIdSchema } from '@acaciadock/core';
import { addressSchema } from '@acaciadock/config';
import { z } from 'zod';

const peerSchema = z.strictObject({ entryId: entryIdSchema, address: addressSchema });
const filePath = z.string().min(1);

/** Key files for HTTPS towards callers and operators. */
export const serverTlsSchema = z.strictObject({ certFile: filePath, keyFile: filePath });

/** Key files for mutual TLS between entries; the certificate's name is the entry's id. */
export const peerTlsSchema = z.strictObject({
  certFile: filePath,
  keyFile: filePath,
  caFile: filePath,
});

/** Timing of the maintenance controller. The defaults suit every deployment known so far. */
export const maintenanceSettingsSchema = z.strictObject({
  /** Lease of the controller's role; a successor waits for it to lapse. */
  leaseMs: z.int().min(500).default(6_000),
  tickMs: z.int().min(10).default(200),
  /** How often the platform's list of instances is read. */
  listPeriodMs: z.int().min(10).default(500),
  /** How often the entries are asked what runs; a tenth as often while nothing is under way. */
  surveyPeriodMs: z.int().min(10).default(500),
  /** Longest time from a grant to its send. */
  startWindowMs: z.int().min(0).default(1_000),
  /** An entry that has not answered the survey for so long counts as silent. */
  silentAfterMs: z.int().min(0).default(3_000),
  /** After so long an entry that can't confirm that it is current starts no work. */
  fenceMs: z.int().min(0).default(10_000),
  /** Health checks in a row that an instance must pass to return. */
  checksToReturn: z.int().min(1).default(2),
  /** A rebooted instance that is not healthy after this time has failed. */
  probeTimeoutMs: z.int().min(0).default(120_000),
});

export const settingsSchema = z.strictObject({
  schemaVersion: z.literal(1),
  /** The instance's id in the platform's list. */
  entryId: entryIdSchema,
  /** The availability zone that this entry runs in. */
  zoneId: zoneIdSchema,
  /** Where callers reach this entry; port 0 takes a free one. */
  callerAddress: addressSchema,
  /** Where operators reach this entry. */
  operatorAddress: addressSchema,
  /** Where other entries reach this entry. */
  peerAddress: addressSchema,
  platform: z.strictObject({
    logUrl: z.url(),
    directoryUrl: z.url(),
    controlUrl: z.url(),
    /** How long the log keeps a record. Snapshots are published well before it ends. */
    logRetentionMs: z.int().min(60_000).default(86_400_000),
  }),
  /** Entries to begin with; all others are found through the roster in the log. */
  peers: z.array(peerSchema).default([]),
  tls: z
    .strictObject({
      callers: serverTlsSchema.optional(),
      peers: peerTlsSchema.optional(),
      /** How often the key files are looked at for a change. */
      reloadPeriodMs: z.int().min(100).default(10_000),
    })
    .optional(),
  /** SHA-256, in hex, of each token that operators may use; none means that no token is asked. */
  operatorTokenSha256s: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
  maintenance: maintenanceSettingsSchema.prefault({}),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export type Settings = z.infer<typeof settingsSchema>;
export type SettingsInput = z.input<typeof settingsSchema>;
export type ServerTlsSettings = z.infer<typeof serverTlsSchema>;
export type PeerTlsSettings = z.infer<typeof peerTlsSchema>;
