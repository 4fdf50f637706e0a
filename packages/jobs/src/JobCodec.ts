/**
 * Encodes jobs for the journal. The definition is written once. Every progress record contains the
 * complete progress, so a new owner needs only the newest record of each key.
 */
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { type Job } from './Job.js';
import { type JobDefinition, jobDefinitionSchema } from './JobSpec.js';
import { type Occurrence } from './Occurrence.js';

export interface RecordUnreadable {
  readonly kind: 'record-unreadable';
  readonly detail: string;
}

const indexSchema = z.number().int().min(0);

const taskEntrySchema = z.object({
  step: indexSchema,
  index: indexSchema,
  done: z.boolean(),
  failures: z.number(),
  lastRun: z.number(),
  checkpoint: z.string(),
  runs: z
    .array(
      z.object({
        run: z.number(),
        targetId: z.string(),
        bornMs: z.number(),
        isAlone: z.boolean().optional(),
      }),
    )
    .readonly(),
  crashes: z.number().optional(),
  earlyCrashes: z.number().optional(),
});

const occurrenceEntrySchema = z.object({
  index: indexSchema,
  dueUnixMs: z.number(),
  tasks: z.array(taskEntrySchema),
});

const progressSchema = z.object({
  status: z.enum(['pending', 'running', 'completed', 'failed', 'cancelled']),
  finishedUnixMs: z.number(),
  ended: z.array(indexSchema),
  occurrences: z.array(occurrenceEntrySchema),
});

type TaskEntry = z.infer<typeof taskEntrySchema>;
type OccurrenceEntry = z.infer<typeof occurrenceEntrySchema>;
export type ProgressRecord = z.infer<typeof progressSchema>;

function parse<T>(bytes: Buffer, schema: z.ZodType<T>): Result<T, RecordUnreadable> {
  try {
    return ok(schema.parse(JSON.parse(bytes.toString('utf8'))));
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
    return parse(bytes, jobDefinitionSchema);
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

  decodeProgress(bytes: Buffer): Result<ProgressRecord, RecordUnreadable> {
    return parse(bytes, progressSchema);
  },

  restoreProgress(job: Job, bytes: Buffer): Result<Job, RecordUnreadable> {
    return parse(bytes, progressSchema).map((record) => {
      JobCodec.applyProgress(job, record);
      return job;
    });
  },

  /** Applies recorded progress to a job that was created from its definition. */
  applyProgress(job: Job, record: ProgressRecord): void {
    Object.assign(job, { status: record.status, finishedUnixMs: record.finishedUnixMs });
    record.ended.forEach((index) => job.endedOccurrences.add(index));
    record.occurrences.forEach((entry) => {
      // Opens this occurrence and all earlier ones that have not ended.
      if (!job.occurrences.has(entry.index)) job.openDue(entry.dueUnixMs);
      entry.tasks.forEach((task) => {
        job.find(entry.index, task.step, task.index)?.task.restore(task);
      });
    });
  },
} as const;
