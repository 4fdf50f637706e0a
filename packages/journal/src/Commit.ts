/** The promise of an outcome of journal writes, and the function that settles it. */

/**
 * - `durable`: the store has the record, or a later one of the same key.
 * - `ownership-lost`: this owner can't tell, and writes no more.
 * - `withdrawn`: the record was taken back or deleted before it was durable; nothing that depends on it
 *   may be confirmed.
 */
export type CommitOutcome = 'durable' | 'ownership-lost' | 'withdrawn';

export interface Commit {
  readonly promise: Promise<CommitOutcome>;
  readonly settle: (outcome: CommitOutcome) => void;
}

export function createCommit(): Commit {
  let settle: (outcome: CommitOutcome) => void = () => undefined;
  const promise = new Promise<CommitOutcome>((resolve) => {
    settle = resolve;
  });
  return { promise, settle };
}

/** The outcome of several writes of which all are needed. */
export async function joinOutcomes(
  commits: readonly Promise<CommitOutcome>[],
): Promise<CommitOutcome> {
  const outcomes = await Promise.all(commits);
  if (outcomes.includes('ownership-lost')) return 'ownership-lost';
  return outcomes.includes('withdrawn') ? 'withdrawn' : 'durable';
}
