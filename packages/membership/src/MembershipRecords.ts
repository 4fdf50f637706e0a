/**
 * Records of the control stream by which every reader reduces the same roster. A member is one
 * incarnation of an entry: a process that starts again is another member.
 */
import { type EntryId, entryIdSchema, idSchema, zoneIdSchema } from '@acaciadock/core';
import { z } from 'zod';

const MAX_ADDRESS_CHARACTERS = 200;

/** `entryId:incarnation`. */
export type MemberId = string;

export function memberIdOf(entryId: EntryId, incarnation: string): MemberId {
  return `${entryId}:${incarnation}`;
}

/** A new incarnation closes every earlier one of the same entry. */
export const joinRecordSchema = z.object({
  kind: z.literal('join'),
  entryId: entryIdSchema,
  incarnation: idSchema,
  address: z.string().min(1).max(MAX_ADDRESS_CHARACTERS),
  zoneId: zoneIdSchema,
});

/** The member starts no work from here on. */
export const leaveRecordSchema = z.object({
  kind: z.literal('leave'),
  memberId: idSchema,
  /** No work runs on its credits either, so that they are free at once. */
  idle: z.boolean(),
});

export const evictRecordSchema = z.object({
  kind: z.literal('evict'),
  memberId: idSchema,
  /** Members that hold it for gone and do not stand by it. */
  voterIds: z.array(idSchema),
  /** Oldest control offset that the evicted member may have stopped reading at. */
  sinceOffset: z.number().int().min(-1),
  /** The record is void if the log took it later than this, by the log's clock. */
  expiresAtMs: z.number().min(0),
  /** No vote was possible: all members but the voters were off the list for a long time. */
  massLoss: z.boolean(),
});

export const membershipRecordSchema = z.discriminatedUnion('kind', [
  joinRecordSchema,
  leaveRecordSchema,
  evictRecordSchema,
]);

export const memberStatusSchema = z.enum(['active', 'left', 'left-busy', 'evicted', 'superseded']);

export const memberSchema = z.object({
  memberId: idSchema,
  entryId: entryIdSchema,
  address: z.string(),
  zoneId: zoneIdSchema,
  joinOffset: z.number().int(),
  status: memberStatusSchema,
  /** Offset of the record that closed it, and that record's instant by the log's clock. */
  closedOffset: z.number().int(),
  closedAtMs: z.number(),
});

/** What a reader needs that comes after the older records have expired. */
export const rosterSnapshotSchema = z.object({
  members: z.array(memberSchema),
  changes: z.array(z.object({ offset: z.number().int(), memberIds: z.array(idSchema) })),
});

export type JoinRecord = z.infer<typeof joinRecordSchema>;
export type LeaveRecord = z.infer<typeof leaveRecordSchema>;
export type EvictRecord = z.infer<typeof evictRecordSchema>;
export type MembershipRecord = z.infer<typeof membershipRecordSchema>;
export type MemberStatus = z.infer<typeof memberStatusSchema>;
export type Member = z.infer<typeof memberSchema>;
export type RosterSnapshot = z.infer<typeof rosterSnapshotSchema>;
