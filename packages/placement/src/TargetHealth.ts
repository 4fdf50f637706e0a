/**
 * Which targets to leave alone for a while. A target that answers promptly may still fail, stall
 * or crawl through everything it is given; counted are bad ends of different jobs without a good
 * one between them, because a job that can't succeed fails wherever it runs. Ejection doubles with
 * each relapse, and never takes more than a part of a pool.
 */

/** Bad ends of so many jobs in a row eject a target. */
const BAD_JOBS_TO_EJECT = 3;

const FIRST_EJECTION_MS = 3_000;
const LONGEST_EJECTION_MS = 24_000;

/** At most this share of a pool is left alone at once. */
const MOST_EJECTED_SHARE = 0.34;

export type RunVerdict = 'good' | 'bad';

interface Record {
  readonly badJobs: Set<string>;
  ejections: number;
  ejectedUntilMs: number;
}

export class TargetHealth {
  private readonly records = new Map<string, Record>();

  /** Notes how a run ended; true if that ejects the target. */
  note(targetId: string, jobId: string, verdict: RunVerdict, nowMs: number): boolean {
    const record = this.recordOf(targetId);
    if (verdict === 'good') {
      record.badJobs.clear();
      if (nowMs >= record.ejectedUntilMs) record.ejections = 0;
      return false;
    }
    record.badJobs.add(jobId);
    // After an ejection one more bad end is enough.
    const needed = record.ejections > 0 ? 1 : BAD_JOBS_TO_EJECT;
    if (record.badJobs.size < needed || nowMs < record.ejectedUntilMs) return false;
    const lengthMs = FIRST_EJECTION_MS * 2 ** record.ejections;
    record.ejectedUntilMs = nowMs + Math.min(LONGEST_EJECTION_MS, lengthMs);
    record.ejections += 1;
    record.badJobs.clear();
    return true;
  }

  isEjected(targetId: string, nowMs: number): boolean {
    return (this.records.get(targetId)?.ejectedUntilMs ?? 0) > nowMs;
  }

  /** Those of a pool's targets that may be used. */
  usable<T extends { readonly targetId: string }>(pool: readonly T[], nowMs: number): T[] {
    const ejected = pool.filter((target) => this.isEjected(target.targetId, nowMs));
    const most = Math.floor(pool.length * MOST_EJECTED_SHARE);
    const leftOut = new Set(ejected.slice(0, most));
    return pool.filter((target) => !leftOut.has(target));
  }

  private recordOf(targetId: string): Record {
    const known = this.records.get(targetId);
    if (known) return known;
    const created = { badJobs: new Set<string>(), ejections: 0, ejectedUntilMs: 0 };
    this.records.set(targetId, created);
    return created;
  }
}
