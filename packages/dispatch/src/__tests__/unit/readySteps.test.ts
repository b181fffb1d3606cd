import {newOccurrence, newProgress, type Step} from '@samphireramp/jobs';
import {type Update, createCommand, createKernel} from '@samphireramp/kernel';
import {buildJob, buildStep} from '@samphireramp/testing';
import {SITE_CONFIGURATION} from '@samphireramp/configuration';
import t from 'tap';
import {JOBS, newJobRow} from '../../DispatchState';
import {DEFAULT_PLACEMENT_FUNCTIONS} from '../../placementFunctions';
import {orderReadySteps} from '../../readySteps';

const CHANGE = createCommand<(update: Update) => void>('change');
const OCCURRENCES = 2;

/** Steps of a job, and how often code has gone over all of them. */
class CountedSteps extends Array<Step> {
  visits = 0;

  override forEach(...args: Parameters<Step[]['forEach']>): void {
    this.visits++;
    super.forEach(...args);
  }
}

/** Counts how often ordering goes over the steps of a job that are all ready. */
function countVisits(stepCount: number): number {
  const kernel = createKernel({
    now: () => 0,
    onError: error => {
      throw error;
    },
  });
  kernel.registerSlice(JOBS);
  kernel.registerSlice(SITE_CONFIGURATION);
  kernel.registerCommand(CHANGE, (update, change) => change(update));
  const steps = new CountedSteps();
  for (let index = 0; index < stepCount; index++) {
    steps.push(buildStep());
  }
  const job = {...buildJob('job', []), steps};
  const occurrences = Array.from({length: OCCURRENCES}, (_, number) =>
    newOccurrence(job, number),
  );
  const {expectedMillis} = DEFAULT_PLACEMENT_FUNCTIONS;
  kernel.dispatch(CHANGE, update => {
    const progress = {...newProgress(job), occurrences};
    update.write(JOBS).set(job.id, newJobRow(job, progress, 0));
    steps.visits = 0;
    const ordered = orderReadySteps(update, 'all', 0, expectedMillis);
    t.equal(ordered.length, stepCount * OCCURRENCES);
  });
  return steps.visits;
}

// Guards against work that grows with the square of the ready steps of a job, which
// kept the holder's loop busy for seconds.
void t.test(
  'the urgency of a job is found once for all its ready steps',
  async t => {
    t.equal(countVisits(40), countVisits(2));
  },
);
