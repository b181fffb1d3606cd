import {
  CONFIGURATION_IN_FORCE,
  CONFIGURATION_READ,
  admitCall,
  configurationKnowledge,
  createConfigurationPlugin,
} from '@samphireramp/configuration';
import {STATES_COPY} from '@samphireramp/job-states';
import {createKernel} from '@samphireramp/kernel';
import {type LogFields, createMetrics} from '@samphireramp/telemetry';
import {buildConfiguration, buildPolicy} from '@samphireramp/testing';
import t from 'tap';
import {createAdmissionReporter} from '../../admissionReporter';
import {createConfigurationObserver} from '../../configurationObserver';

const TERMS = {applyMillis: 4000, failsClosed: false, revokeMillis: 2000};

/** Builds a host that admits and reports calls on a clock that the test sets. */
function buildHost() {
  const clock = {now: 0};
  const now = () => clock.now;
  const lines: Array<LogFields & {event: string}> = [];
  const log = (event: string, fields: LogFields = {}) =>
    void lines.push({event, ...fields});
  const metrics = createMetrics('test');
  const kernel = createKernel({
    now,
    onError: error => {
      throw error;
    },
  });
  kernel.registerSlice(STATES_COPY);
  kernel.register(createConfigurationObserver({metrics, log, now}));
  kernel.register(createConfigurationPlugin());
  const reporter = createAdmissionReporter(kernel, {log, metrics, now});
  const configure = (revision: number) => {
    const configuration = {...buildConfiguration([buildPolicy()]), revision};
    kernel.dispatch(CONFIGURATION_IN_FORCE, {configuration});
    kernel.dispatch(CONFIGURATION_READ, {sentAt: clock.now});
  };
  const receive = (path: string) => {
    const call = {method: 'GET', hostName: 'example', path, keys: []};
    const knowledge = configurationKnowledge(kernel, clock.now);
    reporter.onAdmission(call, admitCall(knowledge, call, TERMS));
  };
  return {clock, lines, metrics, configure, receive};
}

// Guards against a wrong answer that can't be traced to the configuration behind it.
void t.test('the line of a call names what decided it', async t => {
  const {clock, lines, configure, receive} = buildHost();
  receive('/queue/00000000000000aa');
  configure(3);
  clock.now = 700;
  receive('/queue/00000000000000aa');
  receive('/unknown/');
  t.match(lines, [
    {event: 'call-rejected', reason: 'no-configuration', revision: undefined},
    {event: 'configuration-in-force', revision: 3},
    {
      event: 'call-admitted',
      queue: 'queue',
      job: '00000000000000aa',
      revision: 3,
      configurationMillis: 700,
    },
    {
      event: 'call-rejected',
      reason: 'no-route',
      url: 'example/unknown/',
      revision: 3,
      configurationMillis: 700,
    },
  ]);
});

void t.test('a late read is logged, and gauges show its age', async t => {
  const {clock, lines, metrics, configure} = buildHost();
  configure(3);
  clock.now = 4000;
  t.match(metrics.render(), /test_configuration_revision 3/);
  t.match(metrics.render(), /test_configuration_age_milliseconds 4000/);
  configure(5);
  t.match(lines, [
    {event: 'configuration-in-force', before: undefined},
    {event: 'configuration-in-force', before: 3},
    {event: 'configuration-read-late', ageMillis: 4000, revision: 5},
  ]);
});
