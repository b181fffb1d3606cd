import {type Task, newOccurrence, newProgress} from '@samphireramp/jobs';
import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {encodeProgress, greatestProgressBytes} from '../../index';

const MAX_RECORD_BYTES = 262_144;
const WORKERS = 378;

/** Encodes the progress of a job all of whose tasks failed, crashed and run again. */
function encodedBytes(steps: number, count: number): number {
  const job = buildJob(
    '00000000000000aa',
    Array.from({length: steps}, () => buildStep({count})),
  );
  const occurrence = newOccurrence(job, 0);
  const asPlaced = (task: Task, index: number): Task => ({
    ...task,
    phase: 'placed',
    run: 3,
    failedRuns: [1],
    crashedRuns: [2],
    worker: `worker-with-a-name-${index % WORKERS}@1796453889506`,
  });
  const occurrences = [
    {...occurrence, steps: occurrence.steps.map(tasks => tasks.map(asPlaced))},
  ];
  const bytes = encodeProgress({...newProgress(job), occurrences}).length;
  t.ok(bytes <= greatestProgressBytes(job), `${bytes} bytes`);
  return bytes;
}

void t.test(
  'progress never takes more than what is told at hand-in',
  async t => {
    t.ok(encodedBytes(1, 10_000) <= MAX_RECORD_BYTES);
    t.ok(encodedBytes(2, 5000) <= MAX_RECORD_BYTES);
    t.ok(encodedBytes(14, 10_000) > MAX_RECORD_BYTES);
  },
);

void t.test('only jobs whose progress can be recorded are taken', async t => {
  const wide = buildStep({count: 10_000});
  const id = '00000000000000aa';
  const bytesOf = (steps: number) =>
    greatestProgressBytes(buildJob(id, new Array(steps).fill(wide)));
  t.ok(bytesOf(1) <= MAX_RECORD_BYTES);
  t.ok(bytesOf(14) > MAX_RECORD_BYTES);
});
