/**
 * Encodes jobs for the journal. The definition is written once. Every progress record contains the
 * complete progress, so a new owner needs only the newest record of each key. A job with many tasks has
 * them in records of their own, a part each, and so have long checkpoints.
 */
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { type Job } from './Job.js';
import { type JobDefinition, jobDefinitionSchema } from './JobSpec.js';
import { type Occurrence } from './Occurrence.js';
import { type ProgressPart, taskRangeOf } from './ProgressPart.js';
import { type CheckpointRef, type TaskState } from './TaskState.js';

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
  checkpointRef: z.object({ digest: z.string(), parts: z.number().int().min(1) }).optional(),
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

const progressHeadSchema = z.object({
  status: z.enum(['pending', 'running', 'completed', 'failed', 'cancelled']),
  finishedUnixMs: z.number(),
  /** The indexes of the ended occurrences. */
  ended: z.array(indexSchema),
});

const progressSchema = progressHeadSchema.extend({
  occurrences: z.array(occurrenceEntrySchema),
});

/**
 * The progress of a job whose tasks are stored in parts. An earlier version can't read it: it would take the
 * tasks for tasks that were never started.
 */
const dividedProgressSchema = progressHeadSchema.omit({ ended: true }).extend({
  /** The first and the last index of each range of ended occurrences. */
  endedRanges: z.array(z.tuple([indexSchema, indexSchema])),
  openOccurrences: z.array(occurrenceEntrySchema.omit({ tasks: true })),
});

const anyProgressSchema = z.union([progressSchema, dividedProgressSchema]);

const partSchema = z.object({ tasks: z.array(taskEntrySchema) });

type TaskEntry = z.infer<typeof taskEntrySchema>;
type OccurrenceEntry = z.infer<typeof occurrenceEntrySchema>;
type DividedProgress = z.infer<typeof dividedProgressSchema>;
export type ProgressRecord = z.infer<typeof progressSchema> | DividedProgress;
export type PartRecord = z.infer<typeof partSchema>;

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

/** The first and the last number of each range of consecutive numbers. */
function rangesOf(numbers: Iterable<number>): [number, number][] {
  const ranges: [number, number][] = [];
  [...numbers]
    .sort((a, b) => a - b)
    .forEach((number) => {
      const range = ranges.at(-1);
      if (range && number === range[1] + 1) range[1] = number;
      else ranges.push([number, number]);
    });
  return ranges;
}

function endedOf(record: ProgressRecord): readonly number[] {
  if ('ended' in record) return record.ended;
  return record.endedRanges.flatMap(([first, last]) =>
    Array.from({ length: last - first + 1 }, (_, offset) => first + offset),
  );
}

/** The checkpoints that records refer to, by digest. */
export type CheckpointLookup = (ref: CheckpointRef) => string | undefined;

function restoreTask(task: TaskState, entry: TaskEntry, lookUp: CheckpointLookup): void {
  task.restore(entry);
  const { checkpointRef: ref } = entry;
  const text = ref && lookUp(ref);
  if (ref && text !== undefined)
    Object.assign(task, { checkpoint: text, storedCheckpoint: { ref, text } });
}

function restoreTasks(
  job: Job,
  occurrence: number,
  tasks: readonly TaskEntry[],
  lookUp: CheckpointLookup,
): void {
  tasks.forEach((entry) => {
    const place = job.find(occurrence, entry.step, entry.index);
    if (place) restoreTask(place.task, entry, lookUp);
  });
}

export const JobCodec = {
  encodeDefinition(definition: JobDefinition): Buffer {
    return Buffer.from(JSON.stringify(definition));
  },

  decodeDefinition(bytes: Buffer): Result<JobDefinition, RecordUnreadable> {
    return parse(bytes, jobDefinitionSchema);
  },

  /** Whether a finished job has no live runs, so that it keeps only its status and its finish time. */
  keepsOnlyStatus(job: Job): boolean {
    return job.isFinished && job.liveTasks().length === 0;
  },

  encodeProgress(job: Job): Buffer {
    const { status, finishedUnixMs } = job;
    const encode = (record: ProgressRecord): Buffer => Buffer.from(JSON.stringify(record));
    if (JobCodec.keepsOnlyStatus(job))
      return encode({ status, finishedUnixMs, ended: [], occurrences: [] });
    if (!job.hasParts) {
      const ended = [...job.endedOccurrences];
      return encode({ status, finishedUnixMs, ended, occurrences: occurrenceEntries(job) });
    }
    const endedRanges = rangesOf(job.endedOccurrences);
    const openOccurrences = [...job.occurrences.values()].map(({ index, dueUnixMs }) => ({
      index,
      dueUnixMs,
    }));
    return encode({ status, finishedUnixMs, endedRanges, openOccurrences });
  },

  /** Encodes the tasks of one part; without effect on a new owner if its occurrence has ended. */
  encodePart(job: Job, place: ProgressPart): Buffer {
    const tasks: TaskEntry[] = [];
    for (const task of JobCodec.tasksOf(job, place)) {
      const record = task.toRecord();
      if (record) tasks.push({ step: place.step, index: task.index, ...record });
    }
    const record: PartRecord = { tasks };
    return Buffer.from(JSON.stringify(record));
  },

  decodePart(bytes: Buffer): Result<PartRecord, RecordUnreadable> {
    return parse(bytes, partSchema);
  },

  decodeProgress(bytes: Buffer): Result<ProgressRecord, RecordUnreadable> {
    return parse<ProgressRecord>(bytes, anyProgressSchema);
  },

  restoreProgress(job: Job, bytes: Buffer): Result<Job, RecordUnreadable> {
    return JobCodec.decodeProgress(bytes).map((record) => {
      JobCodec.applyProgress(job, record);
      return job;
    });
  },

  /** Applies recorded progress to a job that was created from its definition. */
  applyProgress(
    job: Job,
    record: ProgressRecord,
    lookUp: CheckpointLookup = () => undefined,
  ): void {
    const isDivided = 'openOccurrences' in record;
    if (isDivided) job.divide();
    endedOf(record).forEach((index) => job.endedOccurrences.add(index));
    (isDivided ? record.openOccurrences : record.occurrences).forEach((entry) => {
      // Opens this occurrence and all earlier ones that have not ended.
      if (!job.occurrences.has(entry.index)) job.openDue(entry.dueUnixMs);
    });
    // A finished job opens no occurrences, but its runs may still be alive.
    Object.assign(job, { status: record.status, finishedUnixMs: record.finishedUnixMs });
    if (isDivided) return;
    record.occurrences.forEach(({ index, tasks }) => restoreTasks(job, index, tasks, lookUp));
  },

  /** Applies a recorded part to a job whose progress was applied before. */
  applyPart(
    job: Job,
    { occurrence }: ProgressPart,
    { tasks }: PartRecord,
    lookUp: CheckpointLookup = () => undefined,
  ): void {
    restoreTasks(job, occurrence, tasks, lookUp);
  },

  /** The tasks whose entries are in the record of the part; without one, in that of the whole job. */
  tasksOf(job: Job, place?: ProgressPart): TaskState[] {
    if (place) {
      const { occurrence, step, part } = place;
      const all = job.occurrences.get(occurrence)?.steps[step]?.tasks ?? [];
      return all.slice(...taskRangeOf(part));
    }
    const tasks: TaskState[] = [];
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps) tasks.push(...step.tasks);
    }
    return tasks;
  },
} as const;
