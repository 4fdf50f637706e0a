/**
 * Ejects targets from placement for a while. A target that answers promptly may still fail, stall
 * or slow down everything that it runs. It is ejected after failures of several different jobs
 * without a success in between; counting jobs rather than runs keeps a job that cannot succeed
 * anywhere from ejecting targets. The ejection time doubles with each relapse, and only a limited
 * fraction of a pool is ejected at once.
 */

/** Number of different jobs that must fail in a row to eject a target. */
const FAILED_JOBS_TO_EJECT = 3;

const FIRST_EJECTION_MS = 3_000;
const MAX_EJECTION_MS = 24_000;

/** Maximum fraction of a pool that is ejected at once. */
const MAX_EJECTED_SHARE = 0.34;

/**
 * A target that has left is forgotten this long after its last run, in milliseconds: one that comes
 * back within twice the longest ejection is still ejected, or is ejected again sooner.
 */
const FORGET_AFTER_MS = 2 * MAX_EJECTION_MS;

export type RunVerdict = 'good' | 'bad';

interface HealthRecord {
  readonly failedJobIds: Set<string>;
  ejections: number;
  ejectedUntilMs: number;
  notedMs: number;
}

export class TargetHealth {
  private readonly records = new Map<string, HealthRecord>();

  /** Records the result of a run; returns true if it ejects the target. */
  note(targetId: string, jobId: string, verdict: RunVerdict, nowMs: number): boolean {
    const record = this.recordOf(targetId);
    record.notedMs = nowMs;
    if (verdict === 'good') {
      record.failedJobIds.clear();
      if (nowMs >= record.ejectedUntilMs) record.ejections = 0;
      return false;
    }
    record.failedJobIds.add(jobId);
    // After an ejection, a single failure ejects the target again.
    const needed = record.ejections > 0 ? 1 : FAILED_JOBS_TO_EJECT;
    if (record.failedJobIds.size < needed || nowMs < record.ejectedUntilMs) return false;
    const ejectionMs = FIRST_EJECTION_MS * 2 ** record.ejections;
    record.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, ejectionMs);
    record.ejections += 1;
    record.failedJobIds.clear();
    return true;
  }

  isEjected(targetId: string, nowMs: number): boolean {
    return (this.records.get(targetId)?.ejectedUntilMs ?? 0) > nowMs;
  }

  /** Returns the targets of a pool that may be used; ejects at most `MAX_EJECTED_SHARE` of it. */
  usable<T extends { readonly targetId: string }>(pool: readonly T[], nowMs: number): T[] {
    const ejected = pool.filter((target) => this.isEjected(target.targetId, nowMs));
    const maxCount = Math.floor(pool.length * MAX_EJECTED_SHARE);
    const leftOut = new Set(ejected.slice(0, maxCount));
    return pool.filter((target) => !leftOut.has(target));
  }

  /** Number of targets of which something is known. */
  get recordCount(): number {
    return this.records.size;
  }

  /** Forgets targets that have left, as their ids may never be used again. */
  forgetDeparted(isPresent: (targetId: string) => boolean, nowMs: number): void {
    this.records.forEach(({ notedMs }, targetId) => {
      if (nowMs - notedMs > FORGET_AFTER_MS && !isPresent(targetId)) this.records.delete(targetId);
    });
  }

  private recordOf(targetId: string): HealthRecord {
    const known = this.records.get(targetId);
    if (known) return known;
    const created = {
      failedJobIds: new Set<string>(),
      ejections: 0,
      ejectedUntilMs: 0,
      notedMs: 0,
    };
    this.records.set(targetId, created);
    return created;
  }
}
