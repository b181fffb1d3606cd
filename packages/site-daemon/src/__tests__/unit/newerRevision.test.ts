import {
  CONFIGURATION_IN_FORCE,
  CONFIGURATION_READ,
  admitCall,
  configurationKnowledge,
  createConfigurationPlugin,
} from '@samphireramp/configuration';
import {FOLLOW_HOLDER_STREAMS, REQUESTS_READ} from '@samphireramp/dispatch';
import {DURABLE_PROGRESS} from '@samphireramp/holding';
import {createCommand, createKernel} from '@samphireramp/kernel';
import {encodeRequest} from '@samphireramp/record-codec';
import type {StreamListener, StreamName} from '@samphireramp/stream-log';
import {buildConfiguration, buildJob, buildPolicy} from '@samphireramp/testing';
import t from 'tap';
import {createStreamLogPlugin} from '../../streamLogPlugin';

const BEGIN = createCommand<void>('begin');
const TERMS = {applyMillis: 4000, failsClosed: false, revokeMillis: 2000};

/** Builds a holder that reads what the test has it read. */
function buildHolder() {
  const listeners = new Map<StreamName, StreamListener>();
  const readNow: StreamName[] = [];
  const kernel = createKernel({
    now: () => 0,
    onError: error => {
      throw error;
    },
  });
  kernel.registerSlice(DURABLE_PROGRESS);
  kernel.registerCommand(BEGIN, update =>
    update.emit(FOLLOW_HOLDER_STREAMS, undefined),
  );
  kernel.registerCommand(REQUESTS_READ, () => undefined);
  kernel.register(createConfigurationPlugin());
  kernel.register(
    createStreamLogPlugin({
      streams: {
        partitions: 1,
        append: async () => ({kind: 'refused', detail: ''}),
        follow: ({stream}, listener) => {
          listeners.set(stream, listener);
          return {stop: () => undefined, readNow: () => readNow.push(stream)};
        },
      },
      decodeConfiguration: () => undefined,
      configurationKey: 'config',
      decodeWorker: () => undefined,
      log: () => undefined,
    }),
  );
  kernel.dispatch(BEGIN, undefined);

  const configure = (revision: number) => {
    const configuration = {...buildConfiguration([buildPolicy()]), revision};
    kernel.dispatch(CONFIGURATION_IN_FORCE, {configuration});
    kernel.dispatch(CONFIGURATION_READ, {sentAt: 0});
  };
  /** Reads a job that another host admitted by a revision. */
  const readJob = (revision?: number) => {
    const job = buildJob('00000000000000aa', []);
    const record = encodeRequest({kind: 'submit', job, revision});
    listeners.get('requests')?.onRead({
      records: [{...record, offset: 0}],
      endOffset: 1,
      logEndOffset: 1,
      sentAt: 0,
      isSnapshot: false,
    });
  };
  const admit = (path: string) =>
    admitCall(
      configurationKnowledge(kernel, 0),
      {method: 'GET', hostName: 'example', path, keys: []},
      TERMS,
    );
  return {readNow, configure, readJob, admit};
}

// Guards against a holder that starts jobs of a route and then answers 404 for it.
void t.test('a job of a newer revision shows that a host is behind', t => {
  const {readNow, configure, readJob, admit} = buildHolder();
  configure(5);
  readJob();
  readJob(5);
  t.match(admit('/new/'), {reason: 'no-route', isFinal: true});
  t.same(readNow, []);

  readJob(7);
  readJob(6);
  t.same(readNow, ['configuration'], 'it is read at once');
  t.match(admit('/new/'), {reason: 'no-route', isFinal: false});
  t.match(admit('/queue/'), {kind: 'admitted', basis: {revision: 5}});

  configure(7);
  t.match(admit('/new/'), {reason: 'no-route', isFinal: true});
  t.end();
});
