import {
  NEW_TASK,
  NO_ACCOUNT,
  type Occurrence,
  type Progress,
  type Task,
  jobStateSchema,
} from '@samphireramp/jobs';
import * as z from 'zod/mini';
import {type OnInvalid, decodeValue} from './decodeJson';

/** Record of a task that has never run. */
const NEVER_RUN = 0;
/** Record of a task that is done. */
const DONE = 1;

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

/**
 * Decodes a progress record of the earlier format, an object. Hosts no longer
 * write it, but the log may still hold such records.
 */
export function decodeObjectProgress(
  jobId: string,
  content: unknown,
  onInvalid?: OnInvalid,
): Progress | undefined {
  const record = decodeValue(progressRecordSchema, content, onInvalid);
  if (record === undefined) {
    return undefined;
  }
  return {
    jobId,
    queue: record.queue,
    account: NO_ACCOUNT,
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

function decodeTask(record: TaskRecord): Task {
  if (record === NEVER_RUN) {
    return NEW_TASK;
  }
  if (record === DONE) {
    return {...NEW_TASK, phase: 'done'};
  }
  const [run, failedRuns, checkpoint, worker] = record;
  const phase = worker === '' ? 'open' : 'placed';
  return {...NEW_TASK, phase, run, failedRuns, checkpoint, worker};
}
