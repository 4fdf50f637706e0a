/**
 * Whose a submission is. Clients choose ids, so that an id alone names no submission: it is one of a team on a
 * queue, or, on a public queue, of whoever calls that queue. Workers know tasks by the id alone, so that at most one
 * scope can have an id at a time.
 */
import { type JobDefinition, type JobsConfigView } from '@acaciadock/jobs';

/** The team is empty on a public queue, where calls need no key. */
export interface SubmissionScope {
  readonly queueId: string;
  readonly teamId: string;
}

/** The scope of a call or of an accepted job under the configuration. */
export function scopeOf(
  { queueId, teamId }: SubmissionScope,
  config: JobsConfigView,
): SubmissionScope {
  return { queueId, teamId: config.queue(queueId)?.isPublic ? '' : teamId };
}

/**
 * Whether the caller may see, cancel and repeat the submission. If its queue was removed from the configuration, the
 * same path may lead to a queue of another name, and the team decides alone.
 */
export function isWithinScope(
  { queueId, teamId }: JobDefinition,
  caller: SubmissionScope,
  config: JobsConfigView,
): boolean {
  const queue = config.queue(queueId);
  const isSameQueue = queueId === caller.queueId;
  if (queue && !isSameQueue) return false;
  if (teamId === caller.teamId) return true;
  return isSameQueue && (teamId === '' || queue?.isPublic === true);
}
