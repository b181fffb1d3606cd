import {RUNS, WORKERS} from '@samphireramp/fleet';
import {
  type SliceDefinition,
  type Update,
  createCommand,
  createKernel,
} from '@samphireramp/kernel';
import {newOccurrence, newProgress} from '@samphireramp/jobs';
import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {LIMITED_SINCE} from '../../accountWaits';
import {ADVICE} from '../../adviceState';
import {JOBS, SITE_CONFIGURATION, newJobRow} from '../../DispatchState';
import {DISPATCH_EVENT} from '../../messages';
import {DEFAULT_PLACEMENT_FUNCTIONS} from '../../placementFunctions';
import {RESERVATIONS} from '../../reservations';
import {
  WAITING_SINCE,
  WAITS_CHECKED_AT,
  reportWaitingSteps,
} from '../../waitingSteps';

const CHANGE = createCommand<(update: Update) => void>('change');
const SLICES = [
  JOBS,
  SITE_CONFIGURATION,
  ADVICE,
  RESERVATIONS,
  WORKERS,
  RUNS,
  WAITING_SINCE,
  WAITS_CHECKED_AT,
  LIMITED_SINCE,
] as SliceDefinition<unknown, unknown>[];

void t.test(
  'of steps that wait for the limit of their account one is reported',
  async t => {
    const clock = {now: 0};
    const kernel = createKernel({
      now: () => clock.now,
      onError: error => {
        throw error;
      },
    });
    const events: unknown[] = [];
    SLICES.forEach(slice => kernel.registerSlice(slice));
    kernel.registerCommand(CHANGE, (update, change) => change(update));
    kernel.registerEffect(DISPATCH_EVENT, event => events.push(event));
    kernel.dispatch(CHANGE, update => {
      // More jobs of an account at its limit than one check reports.
      for (let index = 0; index < 10; index++) {
        const account = index < 9 ? 'team' : '';
        const job = buildJob(`job-${index}`, [buildStep()], {account});
        const occurrences = [newOccurrence(job, 0)];
        const progress = {...newProgress(job), occurrences};
        update.write(JOBS).set(job.id, newJobRow(job, progress, 0));
      }
    });
    for (clock.now = 1000; clock.now <= 3100; clock.now += 1050) {
      kernel.dispatch(CHANGE, update =>
        reportWaitingSteps(update, clock.now, {
          ...DEFAULT_PLACEMENT_FUNCTIONS,
          createStartQuota: () => ({
            mostTasks: (_account, {cpuMillis}, tasks) =>
              cpuMillis > 0 ? 0 : tasks,
            take: () => undefined,
          }),
        }),
      );
    }
    t.match(events, [
      {
        event: 'step-waits',
        subject: 'job-0.0.0',
        millis: 2100,
        account: 'team',
        atLimits: 'cpu:2100',
      },
      {subject: 'job-9.0.0', account: undefined, atLimits: undefined},
    ]);
    t.equal(events.length, 2);
  },
);
