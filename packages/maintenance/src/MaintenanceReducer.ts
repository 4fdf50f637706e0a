/**
 * Reduces the maintenance records of the control stream to the maintenance state. The state is a
 * pure function of the stream, so every entry that has read it agrees on the controller, the jobs
 * and the roll-out, and can take over as controller.
 */
import { MAX_CLOCK_SKEW_MS } from '@acaciadock/peers';
import { type LogRecord } from '@acaciadock/platform';
import { endsJob, transition } from './InstanceState.js';
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
  /** Written under an epoch that has ended, or a claim made while a lease is valid. */
  | { readonly kind: 'fenced'; readonly record: MaintenanceRecord }
  /** Decided without knowledge of a record that was accepted in between. */
  | { readonly kind: 'outdated'; readonly record: MaintenanceRecord }
  /** Invalid in the current state. */
  | { readonly kind: 'not-applicable'; readonly record: MaintenanceRecord }
  /** Not a maintenance record, or one of a later schema. */
  | { readonly kind: 'foreign' };

export class MaintenanceReducer {
  private current: MaintenanceState = EMPTY_MAINTENANCE_STATE;

  /** Whether the state is complete; see `isComplete`. */
  private whole = false;

  /** Records read while the state is incomplete; replayed on top of the first snapshot. */
  private bufferedRecords: LogRecord[] = [];

  get state(): MaintenanceState {
    return this.current;
  }

  /** Whether the state is complete: the stream was read from its start or from a snapshot. */
  get isComplete(): boolean {
    return this.whole;
  }

  /** Called if the stream is read from its first record, or to its end without a snapshot. */
  markComplete(): void {
    this.whole = true;
    this.bufferedRecords = [];
  }

  reduce(logRecord: LogRecord): MaintenanceVerdict {
    if (!this.whole) this.bufferedRecords.push(logRecord);
    const verdict = this.evaluate(logRecord);
    if (verdict.kind !== 'accepted' || verdict.record.kind === 'maintenance-renewal')
      return verdict;
    this.current = { ...this.current, basisOffset: logRecord.offset };
    return verdict;
  }

  /** Discards the state after missed records; it is complete again from the next snapshot. */
  reset(): void {
    this.current = EMPTY_MAINTENANCE_STATE;
    this.whole = false;
    this.bufferedRecords = [];
  }

  private evaluate({ offset, appendedAtMs, payload }: LogRecord): MaintenanceVerdict {
    const parsed = maintenanceRecordSchema.safeParse(payload);
    if (!parsed.success) return { kind: 'foreign' };
    const record = parsed.data;
    if (record.kind === 'maintenance-claim') return this.claim(record, offset, appendedAtMs);
    if (record.kind === 'maintenance-command') return this.command(record, appendedAtMs);
    if (record.kind === 'maintenance-snapshot' && !this.whole) {
      return this.restoreSnapshot(record, offset);
    }
    if (record.epoch !== this.current.lease?.epoch) return { kind: 'fenced', record };
    if ('basisOffset' in record && record.basisOffset !== this.current.basisOffset) {
      return { kind: 'outdated', record };
    }
    return this.applyControllerRecord(record, appendedAtMs);
  }

  /**
   * A snapshot holds the state up to its basis offset. Records between that offset and the snapshot
   * itself, such as commands, are reduced again on top of it. A snapshot is ignored if any of these
   * records were not read.
   */
  private restoreSnapshot(record: SnapshotRecord, offset: number): MaintenanceVerdict {
    const { basisOffset } = record.state;
    const [first] = this.bufferedRecords;
    if (!first || first.offset > basisOffset + 1) return { kind: 'not-applicable', record };
    const later = this.bufferedRecords.filter(
      (read) => read.offset > basisOffset && read.offset < offset,
    );
    this.current = record.state;
    this.markComplete();
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

  private applyControllerRecord(
    record: Exclude<MaintenanceRecord, ClaimRecord | CommandRecord>,
    atMs: number,
  ): MaintenanceVerdict {
    const { lease } = this.current;
    if (record.kind === 'maintenance-renewal' && lease) {
      const expiresAtMs = Math.max(lease.expiresAtMs, atMs + lease.leaseMs);
      this.current = { ...this.current, lease: { ...lease, expiresAtMs } };
    } else if (record.kind === 'maintenance-release' && lease) {
      // Past by more than the clock skew, so that the next claim is accepted immediately.
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
      .map((job) => [job.jobId, MaintenanceReducer.createJob(job, atMs)] as const);
    const settled = new Set(record.settledMoveIds);
    this.current = {
      ...this.current,
      jobs: { ...this.current.jobs, ...Object.fromEntries(opened) },
      wantedMoves: [
        ...this.current.wantedMoves.filter(({ moveId }) => !settled.has(moveId)),
        ...record.wantedMoves,
      ],
    };
    this.current = RollOutProgress.recordLoans(this.current, record.wantedMoves);
  }

  private static createJob(job: NewJob, atMs: number): Job {
    // The instance of a `readmit` job is closed already.
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
      // A step enters `probing` from `rebooting` if it is completed, and from other states if not.
      const cancelled = job.cancelled || (to === 'probing' && job.state !== 'rebooting');
      jobs[jobId] = { ...job, state: to, sinceMs: atMs, rebooted, cancelled };
      if (!endsJob(to) && to !== 'failed') return;
      this.current = RollOutProgress.jobEnded(this.current, jobs[jobId], atMs);
      if (endsJob(to)) delete jobs[jobId];
    });
    this.current = { ...this.current, jobs };
    return { kind: 'accepted', record };
  }

  private drop(jobId: string, atMs: number): void {
    const { [jobId]: dropped, ...jobs } = this.current.jobs;
    if (!dropped) return;
    this.current = { ...this.current, jobs };
    this.current = RollOutProgress.removePending(this.current, dropped.instanceId, atMs);
  }

  private command(record: CommandRecord, atMs: number): MaintenanceVerdict {
    const next = RollOutProgress.command(this.current, record, atMs);
    if (!next) return { kind: 'not-applicable', record };
    this.current = next;
    return { kind: 'accepted', record };
  }
}
