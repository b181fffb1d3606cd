import {FOLLOW_HOLDER_STREAMS, REQUESTS_READ} from '@samphireramp/dispatch';
import {WORKER_REGISTRY_READ, type WorkerRecord} from '@samphireramp/fleet';
import {DURABLE_PROGRESS} from '@samphireramp/holding';
import {
  createCommand,
  createKernel,
  createTableSlice,
} from '@samphireramp/kernel';
import type {StreamListener, StreamName} from '@samphireramp/stream-log';
import t from 'tap';
import {createStreamLogPlugin} from '../../streamLogPlugin';

const APPLIED = createTableSlice<boolean>('applied');
const BEGIN = createCommand<void>('begin');
const READ = {endOffset: 3, logEndOffset: 3, sentAt: 70, isSnapshot: true};

/** A kernel that follows streams; its handlers fail for what is called `odd`. */
function buildFollower() {
  const listeners = new Map<StreamName, StreamListener>();
  const errors: unknown[] = [];
  const completeUntil: Array<number | undefined> = [];
  const malformed: StreamName[] = [];
  const kernel = createKernel({
    now: () => 0,
    onError: error => errors.push(error),
  });
  kernel.registerSlice(APPLIED);
  kernel.registerSlice(DURABLE_PROGRESS);
  kernel.registerCommand(BEGIN, update =>
    update.emit(FOLLOW_HOLDER_STREAMS, undefined),
  );
  kernel.registerCommand(REQUESTS_READ, (update, payload) => {
    for (const request of payload.requests) {
      const id = request.kind === 'cancel' ? request.jobId : request.job.id;
      update.write(APPLIED).set(id, true);
      failIfOdd(id);
    }
    completeUntil.push(payload.completeUntil);
  });
  kernel.registerCommand(WORKER_REGISTRY_READ, (update, {records, removed}) => {
    for (const id of [...records.map(record => record.id), ...removed]) {
      update.write(APPLIED).set(id, true);
      failIfOdd(id);
    }
  });
  kernel.register(
    createStreamLogPlugin({
      streams: {
        partitions: 1,
        append: async () => ({kind: 'refused', detail: ''}),
        follow: ({stream}, listener) => {
          listeners.set(stream, listener);
          return {stop: () => undefined, readNow: () => undefined};
        },
      },
      decodeConfiguration: () => undefined,
      configurationKey: 'config',
      decodeWorker: (id, value) =>
        value.length === 1 ? undefined : ({id} as WorkerRecord),
      log: () => undefined,
      countMalformed: stream => malformed.push(stream),
    }),
  );
  kernel.dispatch(BEGIN, undefined);
  const read = (stream: StreamName, values: Record<string, string>) =>
    listeners.get(stream)?.onRead({
      ...READ,
      records: Object.entries(values).map(([key, value], offset) => ({
        key,
        value: Buffer.from(value),
        offset,
      })),
    });
  const applied = () => [...kernel.read(APPLIED).keys()];
  return {read, applied, errors, completeUntil, malformed};
}

function failIfOdd(id: string): void {
  if (id === 'odd') {
    throw new Error('odd');
  }
}

void t.test('a request that fails costs no other of its read', async t => {
  const {read, applied, errors, completeUntil, malformed} = buildFollower();
  read('requests', {
    'cancel.a': '{}',
    'cancel.odd': '{}',
    'cancel.malformed': '{',
    'cancel.b': '{}',
  });
  t.same(applied(), ['a', 'b']);
  t.equal(errors.length, 2);
  t.same(malformed, ['requests']);
  // Not all requests were applied at once, so that nothing is known in full yet.
  t.same(completeUntil, [undefined, undefined]);
  read('requests', {});
  t.same(completeUntil.at(-1), READ.sentAt);
});

void t.test('a worker that fails costs no other of its read', async t => {
  const {read, applied, malformed} = buildFollower();
  read('workers', {
    a: 'entry',
    odd: 'entry',
    malformed: 'x',
    b: 'entry',
    c: '',
  });
  t.same(applied(), ['a', 'b', 'c']);
  t.same(malformed, ['workers']);
});
