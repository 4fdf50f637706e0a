/**
 * Schemas of the control stream's membership records, from which every reader derives the same
 * roster. A member is one incarnation of an entry: a restarted process is a new member.
 */
import { type EntryId, entryIdSchema, idSchema, zoneIdSchema } from '@acaciadock/core';
import { z } from 'zod';

const MAX_ADDRESS_CHARACTERS = 200;

/** Has the form `entryId:incarnation`. */
export type MemberId = string;

export function memberIdOf(entryId: EntryId, incarnation: string): MemberId {
  return `${entryId}:${incarnation}`;
}

/** Adds a member. It supersedes every earlier incarnation of the same entry. */
export const joinRecordSchema = z.object({
  kind: z.literal('join'),
  entryId: entryIdSchema,
  incarnation: idSchema,
  address: z.string().min(1).max(MAX_ADDRESS_CHARACTERS),
  zoneId: zoneIdSchema,
});

/** Ends a membership as planned: the member starts no work after this record. */
export const leaveRecordSchema = z.object({
  kind: z.literal('leave'),
  memberId: idSchema,
  /** Whether no work runs on the member's credits any more, so that they are free at once. */
  idle: z.boolean(),
});

export const evictRecordSchema = z.object({
  kind: z.literal('evict'),
  memberId: idSchema,
  /** Members that consider it gone and have withdrawn their support. */
  voterIds: z.array(idSchema),
  /** Lowest control stream offset at which the evicted member may have stopped reading. */
  sinceOffset: z.number().int().min(-1),
  /** The record is invalid if the log appended it later than this, by the log's clock. */
  expiresAtMs: z.number().min(0),
  /**
   * Whether no majority was needed because all members but the voters had long been silent and
   * missing from the list.
   */
  massLoss: z.boolean(),
});

export const membershipRecordSchema = z.discriminatedUnion('kind', [
  joinRecordSchema,
  leaveRecordSchema,
  evictRecordSchema,
]);

/**
 * `left` and `left-busy`: the member left as planned; with `left-busy`, work on its credits may still
 * be running. `evicted`: the other members voted it out. `superseded`: a later incarnation of the same
 * entry joined.
 */
export const memberStatusSchema = z.enum(['active', 'left', 'left-busy', 'evicted', 'superseded']);

export const memberSchema = z.object({
  memberId: idSchema,
  entryId: entryIdSchema,
  address: z.string(),
  zoneId: zoneIdSchema,
  joinOffset: z.number().int(),
  status: memberStatusSchema,
  /** Offset of the record that ended the membership; -1 while it is active. */
  closedOffset: z.number().int(),
  /** When the log appended that record, by the log's clock; 0 while the membership is active. */
  closedAtMs: z.number(),
});

/** State that a reader needs if it starts after the older records have expired. */
export const rosterSnapshotSchema = z.object({
  members: z.array(memberSchema),
  /** The active members after each of the latest changes, oldest first. */
  changes: z.array(z.object({ offset: z.number().int(), memberIds: z.array(idSchema) })),
});

export type JoinRecord = z.infer<typeof joinRecordSchema>;
export type LeaveRecord = z.infer<typeof leaveRecordSchema>;
export type EvictRecord = z.infer<typeof evictRecordSchema>;
export type MembershipRecord = z.infer<typeof membershipRecordSchema>;
export type MemberStatus = z.infer<typeof memberStatusSchema>;
export type Member = z.infer<typeof memberSchema>;
export type RosterSnapshot = z.infer<typeof rosterSnapshotSchema>;
