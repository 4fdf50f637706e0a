/**
 * Encodes jobs for the journal. The definition is written once. Every progress record contains the
 * complete progress, so a new owner needs only the newest record of each key.
 */
import { err, ok, type Result } from 'neverthrow';
import { type Job, type JobStatus } from './Job.js';
import { type JobDefinition } from './JobSpec.js';
import { type Occurrence } from './Occurrence.js';
import { type TaskRecord } from './TaskState.js';

export interface RecordUnreadable {
  readonly kind: 'record-unreadable';
  readonly detail: string;
}

interface TaskEntry extends TaskRecord {
  readonly step: number;
  readonly index: number;
}

interface OccurrenceEntry {
  readonly index: number;
  readonly dueUnixMs: number;
  readonly tasks: readonly TaskEntry[];
}

interface ProgressRecord {
  readonly status: JobStatus;
  readonly finishedUnixMs: number;
  readonly ended: readonly number[];
  readonly occurrences: readonly OccurrenceEntry[];
}

function parse<T>(bytes: Buffer): Result<T, RecordUnreadable> {
  try {
    return ok(JSON.parse(bytes.toString('utf8')) as T);
  } catch (cause) {
    return err({ kind: 'record-unreadable', detail: String(cause) });
  }
}

/** Loops without intermediate lists: each batch encodes the whole progress of every changed job. */
function taskEntries({ steps }: Occurrence): TaskEntry[] {
  const entries: TaskEntry[] = [];
  for (const { index: step, tasks } of steps) {
    for (const task of tasks) {
      const record = task.toRecord();
      if (record) entries.push({ step, index: task.index, ...record });
    }
  }
  return entries;
}

function occurrenceEntries(job: Job): OccurrenceEntry[] {
  return [...job.occurrences.values()].map((occurrence) => ({
    index: occurrence.index,
    dueUnixMs: occurrence.dueUnixMs,
    tasks: taskEntries(occurrence),
  }));
}

export const JobCodec = {
  encodeDefinition(definition: JobDefinition): Buffer {
    return Buffer.from(JSON.stringify(definition));
  },

  decodeDefinition(bytes: Buffer): Result<JobDefinition, RecordUnreadable> {
    return parse<JobDefinition>(bytes);
  },

  /** A finished job without live runs keeps only its status and its finish time. */
  encodeProgress(job: Job): Buffer {
    const keepsOnlyStatus = job.isFinished && job.liveTasks().length === 0;
    const record: ProgressRecord = {
      status: job.status,
      finishedUnixMs: job.finishedUnixMs,
      ended: keepsOnlyStatus ? [] : [...job.endedOccurrences],
      occurrences: keepsOnlyStatus ? [] : occurrenceEntries(job),
    };
    return Buffer.from(JSON.stringify(record));
  },

  /** Applies recorded progress to a job that was created from its definition. */
  restoreProgress(job: Job, bytes: Buffer): Result<Job, RecordUnreadable> {
    return parse<ProgressRecord>(bytes).map((record) => {
      Object.assign(job, { status: record.status, finishedUnixMs: record.finishedUnixMs });
      record.ended.forEach((index) => job.endedOccurrences.add(index));
      record.occurrences.forEach((entry) => {
        // Opens this occurrence and all earlier ones that have not ended.
        if (!job.occurrences.has(entry.index)) job.openDue(entry.dueUnixMs);
        entry.tasks.forEach((task) => {
          job.find(entry.index, task.step, task.index)?.task.restore(task);
        });
      });
      return job;
    });
  },
} as const;
