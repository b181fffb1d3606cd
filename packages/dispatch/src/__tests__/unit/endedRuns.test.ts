import {MAY_COMMAND_WORKERS, RUNS} from '@samphireramp/fleet';
import {type Update, createCommand, createKernel} from '@samphireramp/kernel';
import {newOccurrence, newProgress, runKey} from '@samphireramp/jobs';
import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {
  adoptRunsOfEndedJob,
  listPlacedRuns,
  occurrencesAfterEnd,
} from '../../endedRuns';

const CHANGE = createCommand<(update: Update) => void>('change');
const ENDED_AT = 1_000_000;

/** Adopts the run of a job that was cancelled, some time after its end. */
function adoptAfter(millis: number) {
  const kernel = createKernel({
    now: () => 500,
    onError: error => {
      throw error;
    },
  });
  kernel.registerSlice(MAY_COMMAND_WORKERS);
  kernel.registerSlice(RUNS);
  kernel.registerCommand(CHANGE, (update, change) => change(update));
  const job = buildJob('job', [buildStep()], {account: 'team'});
  const occurrence = newOccurrence(job, 0);
  const [[task]] = occurrence.steps;
  const placed = {...task, phase: 'placed' as const, run: 1, worker: 'a@1'};
  const running = {
    ...newProgress(job),
    occurrences: [{...occurrence, steps: [[placed]]}],
  };
  const ended = {
    ...running,
    occurrences: occurrencesAfterEnd(job, running),
    endedAt: ENDED_AT,
  };
  kernel.dispatch(CHANGE, update =>
    adoptRunsOfEndedJob(update, job, ended, ENDED_AT + millis),
  );
  const [{runId}] = listPlacedRuns(ended);
  return kernel.read(RUNS).get(runKey(runId));
}

// Guards against a storm of stop orders by a new holder, most for runs that are gone.
void t.test('runs of ended jobs get no stop order at once', async t => {
  t.match(adoptAfter(1000), {
    account: 'team',
    phase: 'stopping',
    lastOrderAt: 500,
  });
  t.equal(adoptAfter(60_000), undefined);
});
