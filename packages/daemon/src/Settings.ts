/**
 * Schema of an entry's settings, which are read from one JSON file and validated before the start.
 */
import { entryIdSchema, zoneIdSchema } from '@acaciadock/core';
import { addressSchema } from '@acaciadock/config';
import { z } from 'zod';

const peerSchema = z.strictObject({ entryId: entryIdSchema, address: addressSchema });
const filePath = z.string().min(1);

/** Key files of the HTTPS servers for callers and operators. */
export const serverTlsSchema = z.strictObject({ certFile: filePath, keyFile: filePath });

/** Key files for mutual TLS between entries. The certificate's name is the id of the entry. */
export const peerTlsSchema = z.strictObject({
  certFile: filePath,
  keyFile: filePath,
  caFile: filePath,
});

/** Timing of the maintenance controller. The defaults suit all known deployments. */
export const maintenanceSettingsSchema = z.strictObject({
  /** Lease of the controller's role. A successor waits until it expires, unless it is released. */
  leaseMs: z.int().min(500).default(6_000),
  /** Period at which the controller claims or renews its role and decides its next step. */
  tickMs: z.int().min(10).default(200),
  /** Period at which the platform's list of instances is read. */
  listPeriodMs: z.int().min(10).default(500),
  /** Period at which entries are queried for their open runs; ten times longer while idle. */
  surveyPeriodMs: z.int().min(10).default(500),
  /** Maximum time between a grant and the sending of the granted work. */
  startWindowMs: z.int().min(0).default(1_000),
  /** An entry that has not answered the survey for this time counts as silent. */
  silentAfterMs: z.int().min(0).default(3_000),
  /**
   * Time after which the controller assumes that an entry that cannot confirm that it is up to date
   * starts no more work.
   */
  fenceMs: z.int().min(0).default(10_000),
  /** Consecutive health checks that an instance must pass to return to service. */
  checksToReturn: z.int().min(1).default(2),
  /** A rebooted instance that is not healthy after this time counts as failed. */
  probeTimeoutMs: z.int().min(0).default(120_000),
});

export const settingsSchema = z.strictObject({
  schemaVersion: z.literal(1),
  /** Id of this entry's instance in the platform's list. */
  entryId: entryIdSchema,
  /** The availability zone that this entry runs in. */
  zoneId: zoneIdSchema,
  /** Listen address for callers; port 0 selects a free port. */
  callerAddress: addressSchema,
  /** Listen address for operators. */
  operatorAddress: addressSchema,
  /** Listen address for links from the other entries. */
  peerAddress: addressSchema,
  platform: z.strictObject({
    logUrl: z.url(),
    directoryUrl: z.url(),
    controlUrl: z.url(),
    /**
     * How long the log retains a record. Snapshots are published well before the last one expires.
     */
    logRetentionMs: z.int().min(60_000).default(86_400_000),
  }),
  /**
   * Entries to connect to at the start; all others are discovered through the roster in the log.
   */
  peers: z.array(peerSchema).default([]),
  tls: z
    .strictObject({
      callers: serverTlsSchema.optional(),
      peers: peerTlsSchema.optional(),
      /** Period at which the key files are checked for changes. */
      reloadPeriodMs: z.int().min(100).default(10_000),
    })
    .optional(),
  /** SHA-256 hash, in hex, of each valid operator token. If empty, no token is required. */
  operatorTokenSha256s: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
  maintenance: maintenanceSettingsSchema.prefault({}),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export type Settings = z.infer<typeof settingsSchema>;
export type SettingsInput = z.input<typeof settingsSchema>;
export type ServerTlsSettings = z.infer<typeof serverTlsSchema>;
export type PeerTlsSettings = z.infer<typeof peerTlsSchema>;
