import {
  type Job,
  NEW_TASK,
  NO_ACCOUNT,
  type Occurrence,
  type Progress,
  type Task,
  UNATTRIBUTED_RUN,
  jobStateSchema,
} from '@samphireramp/jobs';
import * as z from 'zod/mini';
import {type OnInvalid, decodeValue} from './decodeJson';
import {decodeObjectProgress} from './objectProgressCodec';
import {parseJson} from './parseJson';

/** Record of a task that has never run. */
const NEVER_RUN = 0;
/** Record of a task that is done. */
const DONE = 1;
/** Added to the index of its worker: record of a task in its first run. */
const FIRST_RUN = 2;
/** Index of the worker in the record of a task that is not placed. */
const NO_WORKER = -1;
/** Index of the client account, which only records of jobs with one have. */
const ACCOUNT_FIELD = 7;

/** Bytes of the record of a task that failed and crashed a worker. */
const MAX_TASK_BYTES = 24;
/** Bytes of a checkpoint. */
const MAX_CHECKPOINT_BYTES = 32;
/** Bytes of the other fields, with the names of some hundred workers. */
const MAX_OTHER_BYTES = 20_000;

// Tasks make up most of a record, so each has the shortest form for its state.
const taskRecordSchema = z.union([
  z.number(), // NEVER_RUN, DONE, or FIRST_RUN + index of the worker
  z.tuple([
    z.number(), // run
    z.number(), // index of the worker, or NO_WORKER
  ]),
  z.tuple([
    z.number(), // run
    z.number(), // index of the worker, or NO_WORKER
    z.array(z.number()), // failed runs
    z.string(), // checkpoint
  ]),
  z.tuple([
    z.number(), // run
    z.number(), // index of the worker, or NO_WORKER
    z.array(z.number()), // failed runs
    z.string(), // checkpoint
    // Negated numbers of the runs whose worker crashed. Earlier builds, which read
    // these and count them, wrote the crashes of a gang into all its members, not negated.
    z.array(z.number()),
  ]),
]);

// A host reads the records of all jobs: without names of fields they are short.
const progressRecordSchema = z.tuple([
  z.string(), // queue
  jobStateSchema,
  z.number(), // received at
  z.number(), // ended at
  z.number(), // next occurrence
  z.array(z.string()), // workers of the placed tasks
  z.array(
    z.tuple([
      z.number(), // number of the occurrence
      z.array(z.array(taskRecordSchema)), // tasks by step
    ]),
  ),
  z.optional(z.string()), // client account, if there is one
]);

type TaskRecord = z.infer<typeof taskRecordSchema>;
type ProgressRecord = z.infer<typeof progressRecordSchema>;

/** Estimates the size of the progress of a job at its greatest, in bytes. */
export function greatestProgressBytes({steps}: Job): number {
  return steps.reduce((bytes, {count, savesCheckpoints}) => {
    const checkpointBytes = savesCheckpoints ? MAX_CHECKPOINT_BYTES : 0;
    return bytes + count * (MAX_TASK_BYTES + checkpointBytes);
  }, MAX_OTHER_BYTES);
}

/** Encodes progress as compact JSON. */
export function encodeProgress(progress: Progress): Buffer {
  const workerIndices = new Map<string, number>();
  const occurrences = progress.occurrences.map(
    ({number, steps}): [number, TaskRecord[][]] => [
      number,
      steps.map(tasks => tasks.map(task => encodeTask(task, workerIndices))),
    ],
  );
  const record: ProgressRecord = [
    progress.queue,
    progress.state,
    progress.receivedAt,
    progress.endedAt,
    progress.nextOccurrence,
    [...workerIndices.keys()],
    occurrences,
  ];
  if (progress.account !== NO_ACCOUNT) {
    record[ACCOUNT_FIELD] = progress.account;
  }
  return Buffer.from(JSON.stringify(record));
}

/** Decodes progress; undefined if the bytes are not a progress record. */
export function decodeProgress(
  jobId: string,
  value: Buffer,
  onInvalid?: OnInvalid,
): Progress | undefined {
  const content = parseJson(value);
  if (!Array.isArray(content)) {
    return decodeObjectProgress(jobId, content, onInvalid);
  }
  const record = decodeValue(progressRecordSchema, content, onInvalid);
  if (record === undefined || !hasKnownWorkers(record)) {
    return undefined;
  }
  const [queue, state, receivedAt, endedAt, nextOccurrence, workers] = record;
  const account = record[ACCOUNT_FIELD] ?? NO_ACCOUNT;
  const occurrences = record[6].map(([number, steps]): Occurrence => ({
    number,
    steps: steps.map(tasks => decodeTasks(tasks, workers)),
  }));
  return {
    jobId,
    queue,
    account,
    state,
    receivedAt,
    endedAt,
    occurrences,
    nextOccurrence,
  };
}

/** Encodes a task, and adds its worker to the workers of the record. */
function encodeTask(
  task: Task,
  workerIndices: Map<string, number>,
): TaskRecord {
  const {phase, run, failedRuns, crashedRuns, checkpoint, worker} = task;
  if (phase === 'done') {
    return DONE;
  }
  const index = worker === '' ? NO_WORKER : indexOf(worker, workerIndices);
  if (crashedRuns.length > 0) {
    const negatedRuns = crashedRuns.map(crashedRun => -crashedRun);
    return [run, index, failedRuns, checkpoint, negatedRuns];
  }
  if (failedRuns.length > 0 || checkpoint !== '') {
    return [run, index, failedRuns, checkpoint];
  }
  if (run === 0 && index === NO_WORKER) {
    return NEVER_RUN;
  }
  return run === 1 && index !== NO_WORKER ? FIRST_RUN + index : [run, index];
}

function indexOf(worker: string, workerIndices: Map<string, number>): number {
  const index = workerIndices.get(worker) ?? workerIndices.size;
  workerIndices.set(worker, index);
  return index;
}

/** Whether each worker that a task names by its index is in the record. */
function hasKnownWorkers(record: ProgressRecord): boolean {
  const [, , , , , workers, occurrences] = record;
  const isKnown = (task: TaskRecord): boolean => {
    const index = typeof task === 'number' ? task - FIRST_RUN : task[1];
    const isUnplaced =
      typeof task === 'number'
        ? task === NEVER_RUN || task === DONE
        : index === NO_WORKER;
    return isUnplaced || workers[index] !== undefined;
  };
  return occurrences.every(([, steps]) =>
    steps.every(tasks => tasks.every(isKnown)),
  );
}

/** Decodes the tasks of a step. */
function decodeTasks(
  records: readonly TaskRecord[],
  workers: readonly string[],
): Task[] {
  const tasks = records.map(record => decodeTask(record, workers));
  if (!isGangOfEarlierBuild(records)) {
    return tasks;
  }
  // Under which of the members a worker crashed is not in the record.
  return tasks.map(task =>
    task.phase === 'done' ? task : {...task, crashedRuns: [UNATTRIBUTED_RUN]},
  );
}

/** Whether the tasks of a step all have the crashes that one of them may have caused. */
function isGangOfEarlierBuild(records: readonly TaskRecord[]): boolean {
  const crashedRuns = records.length > 1 ? crashesOf(records[0]) : undefined;
  return (
    crashedRuns?.some(run => run > 0) === true &&
    records.every(other => String(crashesOf(other)) === String(crashedRuns))
  );
}

function crashesOf(record: TaskRecord): readonly number[] | undefined {
  return typeof record === 'number' ? undefined : record[4];
}

function decodeTask(record: TaskRecord, workers: readonly string[]): Task {
  if (record === NEVER_RUN) {
    return NEW_TASK;
  }
  if (record === DONE) {
    return {...NEW_TASK, phase: 'done'};
  }
  if (typeof record === 'number') {
    const worker = workers[record - FIRST_RUN];
    return {...NEW_TASK, phase: 'placed', run: 1, worker};
  }
  const [run, index, failedRuns = [], checkpoint = '', crashedRuns = []] =
    record;
  const task = {
    ...NEW_TASK,
    run,
    failedRuns,
    crashedRuns: crashedRuns.map(Math.abs),
    checkpoint,
  };
  return index === NO_WORKER
    ? task
    : {...task, phase: 'placed', worker: workers[index]};
}
