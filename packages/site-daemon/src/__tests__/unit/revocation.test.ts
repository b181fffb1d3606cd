import {createAccountsPlugin, digestApiKey} from '@samphireramp/accounts';
import {createConfigurationPlugin} from '@samphireramp/configuration';
import {createDispatchPlugin} from '@samphireramp/dispatch';
import {createFleetPlugin} from '@samphireramp/fleet';
import {createHoldingPlugin} from '@samphireramp/holding';
import {
  FLUSH_REQUESTS,
  SCHEDULE_FLUSH,
  createIntakePlugin,
} from '@samphireramp/intake';
import {
  JOB_STATES,
  STATES_COPY,
  createJobStatesPlugin,
} from '@samphireramp/job-states';
import {createCommand, createKernel} from '@samphireramp/kernel';
import {decodeConfiguration} from '@samphireramp/platform';
import type {FollowOptions, StreamListener} from '@samphireramp/stream-log';
import {type Log, type LogFields, createMetrics} from '@samphireramp/telemetry';
import t from 'tap';
import {createAdmissionReporter} from '../../admissionReporter';
import {createCallerService} from '../../callerService';
import {createStreamLogPlugin} from '../../streamLogPlugin';

const REVOKE_MILLIS = 2000;
const KEYS = ['key-of-first', 'key-of-second'];

/** Builds a host that reads the configuration when the test has it read. */
function buildHost(failsClosed: boolean, onDelay = (): void => undefined) {
  const clock = {now: 0};
  const now = () => clock.now;
  const lines: Array<LogFields & {event: string}> = [];
  const log = (event: string, fields: LogFields = {}) =>
    void lines.push({event, ...fields});
  /** Leaves out the calls that are admitted. */
  const logRejections: Log = (event, fields) => {
    if (event !== 'call-admitted') {
      log(event, fields);
    }
  };
  const appended: string[] = [];
  const metrics = createMetrics('test');
  let options: FollowOptions | undefined;
  let listener: StreamListener | undefined;
  const identity = {self: 'host', incarnation: 'i', roundTripMillis: () => 1};
  const kernel = createKernel({
    now,
    onError: error => {
      throw error;
    },
  });
  for (const plugin of [
    createHoldingPlugin({...identity, claimDelayMillis: () => 0}),
    createJobStatesPlugin({...identity, followDelayMillis: () => 0}),
    createIntakePlugin({partitions: 1}),
    createConfigurationPlugin(),
    createAccountsPlugin(),
    createFleetPlugin(),
    createDispatchPlugin({
      self: 'host',
      wallClock: now,
      partitions: 1,
      keepEndedMillis: 0,
    }),
    createStreamLogPlugin({
      streams: {
        partitions: 1,
        append: async ({records}) => {
          appended.push(...records.map(({value}) => value.toString()));
          return {kind: 'appended', offset: 0, endOffset: 1};
        },
        follow: (followed, itsListener) => {
          if (followed.stream === 'configuration') {
            options = followed;
            listener = itsListener;
          }
          return {stop: () => undefined, readNow: () => undefined};
        },
      },
      decodeConfiguration,
      configurationKey: 'config',
      decodeWorker: () => undefined,
      log,
      maxConfigurationAgeMillis: failsClosed ? REVOKE_MILLIS : undefined,
    }),
  ]) {
    kernel.register(plugin);
  }
  const service = createCallerService(kernel, {
    now,
    wallClock: now,
    delay: async millis => {
      clock.now += millis;
      onDelay();
    },
    isStopping: () => false,
    maxRecordBytes: () => 100_000,
    visibleMillis: () => 3000,
    admissionTerms: () => ({
      applyMillis: Infinity,
      failsClosed,
      revokeMillis: REVOKE_MILLIS,
    }),
    ...createAdmissionReporter(kernel, {log: logRejections, metrics, now}),
    onStatus: () => undefined,
    onPending: () => undefined,
  });

  /** Reads a configuration in which each account has one of the keys, or nothing. */
  const read = (keys?: readonly string[], sentAt = clock.now) =>
    listener?.onRead({
      records: (keys === undefined ? [] : [keys]).map(list => ({
        key: 'config',
        offset: 0,
        value: Buffer.from(
          JSON.stringify({
            version: 1,
            routes: [{name: 'q', host: 'h', path_prefix: '/', service: 'p'}],
            services: [{name: 'p'}],
            tenants: list.map((key, index) => ({
              name: `account-${index}`,
              api_keys: [key],
            })),
          }),
        ),
      })),
      endOffset: 1,
      logEndOffset: 1,
      sentAt,
      isSnapshot: false,
    });
  const decide = (key: string) => {
    const call = {
      method: 'GET',
      hostName: 'h',
      path: '/',
      keys: [Buffer.from(key)],
    };
    const admission = service.admit(call);
    return admission.kind === 'rejected' ? admission.reason : admission.account;
  };
  kernel.registerEffect(SCHEDULE_FLUSH, () => {
    kernel.dispatch(FLUSH_REQUESTS, undefined);
  });
  /** Has the host know all jobs accepted until now, and this one of an account. */
  const learnJob = (jobId: string, account: string) => {
    const learn = createCommand<void>('learn');
    kernel.registerCommand(learn, update => {
      const copy = update.write(STATES_COPY);
      copy.set({...copy.get(), jobsCompleteUntil: clock.now});
      const job = {queue: 'q', account, state: 'queued'} as const;
      update.write(JOB_STATES).set(jobId, job);
    });
    kernel.dispatch(learn, undefined);
  };
  return {
    clock,
    lines,
    metrics,
    read,
    decide,
    learnJob,
    appended,
    service,
    options: () => options,
  };
}

for (const failsClosed of [false, true]) {
  void t.test(
    `a key revoked while the host is cut off, fails closed: ${failsClosed}`,
    async t => {
      const {clock, lines, read, decide} = buildHost(failsClosed);
      read(KEYS);
      t.same(KEYS.map(decide), ['account-0', 'account-1']);
      clock.now += REVOKE_MILLIS - 1;
      t.equal(decide(KEYS[0]), 'account-0');
      clock.now += 1;
      const expected = failsClosed ? 'outdated-configuration' : 'account-0';
      t.equal(decide(KEYS[0]), expected);
      // The read may have been answered before the key was revoked.
      read(undefined, 1);
      clock.now += 1;
      t.equal(decide(KEYS[0]), expected);
      read([KEYS[1]]);
      t.same(KEYS.map(decide), ['unknown-key', 'account-0']);
      read(KEYS);
      t.same(KEYS.map(decide), ['account-0', 'account-1'], 'given back');
      const rejected = lines.filter(({event}) => event === 'call-rejected');
      t.match(rejected[0], {
        reason: failsClosed ? 'outdated-configuration' : 'unknown-key',
        account: failsClosed ? 'account-0' : undefined,
        queue: 'q',
      });
    },
  );
}

void t.test('reads end well before the configuration is outdated', async t => {
  const {pauseMillis, waitMillis} = buildHost(true).options() ?? {};
  t.ok((waitMillis ?? Infinity) + (pauseMillis?.() ?? 0) < REVOKE_MILLIS / 2);
});

void t.test(
  'rejections are counted, logged in bounds, without keys',
  async t => {
    const {lines, metrics, read, decide} = buildHost(false);
    read(KEYS);
    // An invalid configuration changes nothing; each reason is logged.
    read([KEYS[0], KEYS[0]]);
    read([KEYS[0], '']);
    for (let call = 0; call < 1000; call++) {
      decide(`stray-${call}`);
    }
    t.same(KEYS.map(decide), ['account-0', 'account-1']);
    t.match(metrics.render(), /rejected_calls_total\{.*unknown-key.*\} 1000/);
    const details = lines.map(({event, detail}) => `${event} ${detail ?? ''}`);
    t.same(
      [...new Set(details)],
      [
        'record-malformed tenants.1.api_keys.0.duplicate',
        'record-malformed tenants.1.api_keys.0.too_small',
        'call-rejected ',
      ],
    );
    t.equal(lines.length, 12);
    const text = JSON.stringify(lines) + metrics.render();
    for (const key of [...KEYS, 'stray-']) {
      t.notOk(text.includes(key));
      t.notOk(text.includes(digestApiKey(key)));
    }
  },
);

void t.test('a cancel is answered once its job must be known', async t => {
  for (const [owner, expected] of [
    ['first', 'accepted'],
    ['second', 'absent'],
  ]) {
    let delays = 0;
    const host = buildHost(false, () => {
      // The job was accepted at another host just before the call.
      if (++delays === 3) {
        host.learnJob('00000000000000aa', owner);
      }
    });
    const answer = await host.service.cancel('00000000000000aa', 'first');
    t.equal(answer.kind, expected, owner);
    t.equal(delays, 3, 'it waited for that');
    t.equal(host.appended.length, expected === 'accepted' ? 1 : 0);
    const rejected = host.lines.map(({reason, account}) => [reason, account]);
    t.same(rejected, owner === 'first' ? [] : [['other-account', 'first']]);
  }
  const {service, appended, clock} = buildHost(false);
  const answer = await service.cancel('00000000000000aa', 'first');
  t.equal(answer.kind, 'refused', 'a host that learns nothing can not tell');
  t.ok(clock.now < 3000);
  t.same(appended, []);
});
