import {createHoldingPlugin} from '@samphireramp/holding';
import {STATES_READ, createJobStatesPlugin} from '@samphireramp/job-states';
import {createKernel} from '@samphireramp/kernel';
import {type LogFields, createMetrics} from '@samphireramp/telemetry';
import t from 'tap';
import {createAnswerReporter} from '../../answerReporter';

function buildReporter() {
  const clock = {now: 0};
  const now = () => clock.now;
  const kernel = createKernel({
    now,
    onError: error => {
      throw error;
    },
  });
  kernel.register(
    createHoldingPlugin({
      self: 'host-a',
      incarnation: 'incarnation-1',
      roundTripMillis: () => 1,
      claimDelayMillis: () => 0,
    }),
  );
  kernel.register(
    createJobStatesPlugin({
      self: 'host-a',
      incarnation: 'incarnation-1',
      roundTripMillis: () => 1,
      followDelayMillis: () => 0,
    }),
  );
  const lines: LogFields[] = [];
  const metrics = createMetrics('test');
  const reporter = createAnswerReporter(kernel, {
    log: (event, fields) => lines.push({event, ...fields}),
    metrics,
    now,
  });
  return {clock, kernel, lines, metrics, reporter};
}

void t.test('an absent job is logged with the copy that decided', async t => {
  const {clock, kernel, lines, reporter} = buildReporter();
  const read = {entries: [], isSnapshot: false};
  clock.now = 1000;
  kernel.dispatch(STATES_READ, {
    ...read,
    endOffset: 5,
    logEndOffset: 5,
    sentAt: 900,
  });
  clock.now = 2000;
  // A page from the middle of a backlog: the copy is as old as before.
  kernel.dispatch(STATES_READ, {
    ...read,
    endOffset: 40,
    logEndOffset: 700,
    sentAt: 1900,
  });
  clock.now = 2500;
  reporter.onStatus('00000000000000aa', 'absent');
  t.match(lines, [
    {
      event: 'status-absent',
      job: '00000000000000aa',
      copyEnd: 40,
      statesEnd: 700,
      copyMillis: 1600,
      readMillis: 500,
    },
  ]);
});

void t.test('lines about answers are bounded, their metrics not', async t => {
  const {clock, lines, metrics, reporter} = buildReporter();
  for (let index = 0; index < 100; index++) {
    reporter.onPending('queue', index);
    reporter.onStatus('00000000000000aa', 'unsure');
    reporter.onStatus('00000000000000aa', 'running');
  }
  t.equal(lines.length, 10);
  t.match(metrics.render(), 'test_status_answers_total{status="unsure"} 100');
  clock.now = 1000;
  reporter.onPending('queue', 7);
  t.match(lines.at(-1), {event: 'pending-counted', queue: 'queue', count: 7});
});
