import {
  NEW_TASK,
  type Occurrence,
  type Progress,
  type Task,
  jobStateSchema,
} from '@samphireramp/jobs';
import * as z from 'zod/mini';
import {parseJson} from './parseJson';

/** Record of a task that has never run. */
const NEVER_RUN = 0;
/** Record of a task that is done. */
const DONE = 1;

// Tasks make up most of a record, so each has the shortest form for its phase.
const taskRecordSchema = z.union([
  z.literal(NEVER_RUN),
  z.literal(DONE),
  z.tuple([
    z.number(), // run
    z.array(z.number()), // failed runs
    z.string(), // checkpoint
    z.string(), // worker; empty unless placed
  ]),
]);

const progressRecordSchema = z.object({
  queue: z.string(),
  state: jobStateSchema,
  received: z.number(),
  ended: z.optional(z.number()),
  next: z.number(),
  occurrences: z.optional(
    z.array(z.tuple([z.number(), z.array(z.array(taskRecordSchema))])),
  ),
});

type TaskRecord = z.infer<typeof taskRecordSchema>;
type ProgressRecord = z.infer<typeof progressRecordSchema>;

/** Encodes progress as compact JSON. */
export function encodeProgress(progress: Progress): Buffer {
  const record: ProgressRecord = {
    queue: progress.queue,
    state: progress.state,
    received: progress.receivedAt,
    ended: progress.endedAt === 0 ? undefined : progress.endedAt,
    next: progress.nextOccurrence,
    occurrences:
      progress.occurrences.length === 0
        ? undefined
        : progress.occurrences.map(({number, steps}) => [
            number,
            steps.map(tasks => tasks.map(encodeTask)),
          ]),
  };
  return Buffer.from(JSON.stringify(record));
}

/** Decodes progress; undefined if the bytes are not a progress record. */
export function decodeProgress(
  jobId: string,
  value: Buffer,
): Progress | undefined {
  const parsed = progressRecordSchema.safeParse(parseJson(value));
  if (!parsed.success) {
    return undefined;
  }
  const record = parsed.data;
  return {
    jobId,
    queue: record.queue,
    state: record.state,
    receivedAt: record.received,
    endedAt: record.ended ?? 0,
    nextOccurrence: record.next,
    occurrences: (record.occurrences ?? []).map(
      ([number, steps]): Occurrence => ({
        number,
        steps: steps.map(tasks => tasks.map(decodeTask)),
      }),
    ),
  };
}

function encodeTask(task: Task): TaskRecord {
  if (task.phase === 'done') {
    return DONE;
  }
  if (task.phase === 'open' && task.run === 0) {
    return NEVER_RUN;
  }
  const {run, failedRuns, checkpoint, worker} = task;
  return [run, failedRuns, checkpoint, worker];
}

function decodeTask(record: TaskRecord): Task {
  if (record === NEVER_RUN) {
    return NEW_TASK;
  }
  if (record === DONE) {
    return {...NEW_TASK, phase: 'done'};
  }
  const [run, failedRuns, checkpoint, worker] = record;
  const phase = worker === '' ? 'open' : 'placed';
  return {phase, run, failedRuns, checkpoint, worker};
}
