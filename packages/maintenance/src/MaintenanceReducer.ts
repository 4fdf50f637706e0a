/**
 * The reduction of maintenance records, a pure function of the control stream: every entry that
 * has read it knows the same controller, jobs and roll-out, and any of them can go on from there.
 */
import { MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';
import { type LogRecord } from '@acaciadock/platform';
import { isAtRest, transition } from './InstanceState.js';
import {
  type ClaimRecord,
  type CommandRecord,
  type JobsOpened,
  type MaintenanceRecord,
  maintenanceRecordSchema,
  type NewJob,
  type SnapshotRecord,
  type Transitions,
} from './MaintenanceRecord.js';
import { EMPTY_MAINTENANCE_STATE, type Job, type MaintenanceState } from './MaintenanceState.js';
import { RollOutProgress } from './RollOutProgress.js';

export type MaintenanceVerdict =
  | { readonly kind: 'accepted'; readonly record: MaintenanceRecord }
  /** Written under an epoch that is over, or a claim while a lease is running. */
  | { readonly kind: 'fenced'; readonly record: MaintenanceRecord }
  /** Decided before a record that was accepted since. */
  | { readonly kind: 'outdated'; readonly record: MaintenanceRecord }
  | { readonly kind: 'not-applicable'; readonly record: MaintenanceRecord }
  /** Not a record of maintenance, or of a later schema. */
  | { readonly kind: 'foreign' };

export class MaintenanceReducer {
  private current: MaintenanceState = EMPTY_MAINTENANCE_STATE;

  private whole = false;

  /** Records read before the state is whole. */
  private early: LogRecord[] = [];

  get state(): MaintenanceState {
    return this.current;
  }

  /** Whether the state covers everything: the stream was read from its start or a snapshot. */
  get isWhole(): boolean {
    return this.whole;
  }

  /** The stream is read from its first record, or to its end without any snapshot in it. */
  markWhole(): void {
    this.whole = true;
    this.early = [];
  }

  reduce(logRecord: LogRecord): MaintenanceVerdict {
    if (!this.whole) this.early.push(logRecord);
    const verdict = this.judge(logRecord);
    if (verdict.kind !== 'accepted' || verdict.record.kind === 'maintenance-renewal')
      return verdict;
    this.current = { ...this.current, basisOffset: logRecord.offset };
    return verdict;
  }

  /** Records were missed: nothing is known until a snapshot. */
  reset(): void {
    this.current = EMPTY_MAINTENANCE_STATE;
    this.whole = false;
    this.early = [];
  }

  private judge({ offset, appendedAtMs, payload }: LogRecord): MaintenanceVerdict {
    const parsed = maintenanceRecordSchema.safeParse(payload);
    if (!parsed.success) return { kind: 'foreign' };
    const record = parsed.data;
    if (record.kind === 'maintenance-claim') return this.claim(record, offset, appendedAtMs);
    if (record.kind === 'maintenance-command') return this.command(record, appendedAtMs);
    if (record.kind === 'maintenance-snapshot' && !this.whole) {
      return this.adopt(record, offset);
    }
    if (record.epoch !== this.current.lease?.epoch) return { kind: 'fenced', record };
    if ('basisOffset' in record && record.basisOffset !== this.current.basisOffset) {
      return { kind: 'outdated', record };
    }
    return this.controllerRecord(record, appendedAtMs);
  }

  /**
   * A snapshot shows the state up to its basis. Commands may have come between that and the
   * snapshot itself: they are reduced again, and a snapshot with a gap before it is left aside.
   */
  private adopt(record: SnapshotRecord, offset: number): MaintenanceVerdict {
    const { basisOffset } = record.state;
    const [first] = this.early;
    if (!first || first.offset > basisOffset + 1) return { kind: 'not-applicable', record };
    const later = this.early.filter((read) => read.offset > basisOffset && read.offset < offset);
    this.current = record.state;
    this.markWhole();
    later.forEach((read) => this.reduce(read));
    return { kind: 'accepted', record };
  }

  private claim(record: ClaimRecord, offset: number, atMs: number): MaintenanceVerdict {
    const { lease } = this.current;
    if (lease && atMs <= lease.expiresAtMs + MAX_CLOCK_SKEW_MS) return { kind: 'fenced', record };
    const { entryId, incarnation, leaseMs } = record;
    this.current = {
      ...this.current,
      lease: { entryId, incarnation, epoch: offset, leaseMs, expiresAtMs: atMs + leaseMs },
    };
    return { kind: 'accepted', record };
  }

  private controllerRecord(
    record: Exclude<MaintenanceRecord, ClaimRecord | CommandRecord>,
    atMs: number,
  ): MaintenanceVerdict {
    const { lease } = this.current;
    if (record.kind === 'maintenance-renewal' && lease) {
      const expiresAtMs = Math.max(lease.expiresAtMs, atMs + lease.leaseMs);
      this.current = { ...this.current, lease: { ...lease, expiresAtMs } };
    } else if (record.kind === 'maintenance-release' && lease) {
      const expiresAtMs = atMs - MAX_CLOCK_SKEW_MS - 1;
      this.current = { ...this.current, lease: { ...lease, expiresAtMs } };
    } else if (record.kind === 'maintenance-jobs-opened') {
      this.open(record, atMs);
    } else if (record.kind === 'maintenance-transitions') {
      return this.transitions(record, atMs);
    } else if (record.kind === 'maintenance-jobs-dropped') {
      record.jobIds.forEach((jobId) => this.drop(jobId, atMs));
    }
    return { kind: 'accepted', record };
  }

  private open(record: JobsOpened, atMs: number): void {
    const busy = new Set(Object.values(this.current.jobs).map(({ instanceId }) => instanceId));
    const opened = record.jobs
      .filter(({ instanceId }) => !busy.has(instanceId))
      .map((job) => [job.jobId, MaintenanceReducer.newJob(job, atMs)] as const);
    const settled = new Set(record.settledMoveIds);
    this.current = {
      ...this.current,
      jobs: { ...this.current.jobs, ...Object.fromEntries(opened) },
      wantedMoves: [
        ...this.current.wantedMoves.filter(({ moveId }) => !settled.has(moveId)),
        ...record.wantedMoves,
      ],
    };
    this.current = RollOutProgress.lend(this.current, record.wantedMoves);
  }

  private static newJob(job: NewJob, atMs: number): Job {
    const state = job.purpose === 'readmit' ? 'probing' : 'draining';
    return { ...job, state, sinceMs: atMs, cancelled: false, rebooted: false };
  }

  private transitions(record: Transitions, atMs: number): MaintenanceVerdict {
    const allowed = record.transitions.filter(({ jobId, to }) => {
      const job = this.current.jobs[jobId];
      return job !== undefined && transition(job.state, to).isOk();
    });
    if (allowed.length === 0) return { kind: 'not-applicable', record };
    const jobs = { ...this.current.jobs };
    allowed.forEach(({ jobId, to }) => {
      const job = jobs[jobId];
      if (!job) return;
      const rebooted = job.rebooted || to === 'rebooting';
      const cancelled = job.cancelled || (to === 'probing' && job.state !== 'rebooting');
      jobs[jobId] = { ...job, state: to, sinceMs: atMs, rebooted, cancelled };
      if (!isAtRest(to) && to !== 'failed') return;
      this.current = RollOutProgress.jobEnded(this.current, jobs[jobId], atMs);
      if (isAtRest(to)) delete jobs[jobId];
    });
    this.current = { ...this.current, jobs };
    return { kind: 'accepted', record };
  }

  private drop(jobId: string, atMs: number): void {
    const { [jobId]: dropped, ...jobs } = this.current.jobs;
    if (!dropped) return;
    this.current = { ...this.current, jobs };
    this.current = RollOutProgress.instanceGone(this.current, dropped.instanceId, atMs);
  }

  private command(record: CommandRecord, atMs: number): MaintenanceVerdict {
    const next = RollOutProgress.command(this.current, record, atMs);
    if (!next) return { kind: 'not-applicable', record };
    this.current = next;
    return { kind: 'accepted', record };
  }
}
