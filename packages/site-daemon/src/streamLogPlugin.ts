import {
  APPEND_JOURNAL,
  DURABLE_PROGRESS,
  READ_JOURNAL_NOW,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  heldTerm,
} from '@samphireramp/holding';
import {HOSTS_READ} from '@samphireramp/hosts';
import {
  APPEND_STATES,
  FOLLOW_JOURNAL,
  READ_STATES_NOW,
  STATES_APPEND_ENDED,
  STATES_READ,
  UNFOLLOW_JOURNAL,
} from '@samphireramp/job-states';
import {REVISION_KNOWN} from '@samphireramp/configuration';
import {
  APPEND_REQUESTS,
  REQUEST_APPEND_ENDED,
  type Request,
} from '@samphireramp/intake';
import {
  type Kernel,
  type PayloadOf,
  type Plugin,
  mergeUnregister,
} from '@samphireramp/kernel';
import {
  FOLLOW_HOLDER_STREAMS,
  FORGET_REQUESTS,
  REQUESTS_FORGOTTEN,
  REQUESTS_READ,
  REQUESTS_READ_FAILED,
  UNFOLLOW_HOLDER_STREAMS,
  isOver as isProgressOver,
} from '@samphireramp/dispatch';
import {WORKER_REGISTRY_READ} from '@samphireramp/fleet';
import {
  type OnMalformed,
  decodeHosts,
  decodeJournal,
  decodeRequests,
  decodeStates,
  encodeJournalEntry,
  encodeRequest,
  encodeStateEntry,
  jobIdsOf,
} from '@samphireramp/record-codec';
import {
  type AppendOutcome,
  type FollowHandle,
  type ReadFailure,
  type StreamName,
  reachedLogEnd,
} from '@samphireramp/stream-log';
import type {Log} from '@samphireramp/telemetry';
import {forgetRequests} from './requestTombstones';
import {createMalformedReporter} from './malformedRecords';
import {applyRecords} from './applyRecords';
import {
  type ConfigurationStreamOptions,
  createConfigurationStreamPlugin,
} from './configurationStream';
import {createReserveStreamPlugin} from './reserveStream';
import {createListenerFactory} from './streamListener';
import {
  type DecodeWorker,
  createWorkerRegistryReader,
} from './workerRegistryStream';

/** The partition of every stream but `requests`, which has several. */
const ONLY_PARTITION = 0;
/** Pause after a read of a stream that the holder writes; bounds the call rate. */
const FOLLOWER_READ_PAUSE_MILLIS = 100;
/** Pause after a read by the holder of a stream that it writes itself. */
const HOLDER_READ_PAUSE_MILLIS = 1000;
/** Pause after a read of requests; bounds the rate of calls. */
const REQUESTS_READ_PAUSE_MILLIS = 10;
/** Pause after a read of records of a low-traffic stream; bounds the call rate. */
const LOW_TRAFFIC_READ_PAUSE_MILLIS = 300;
/**
 * How long the log may keep a read of a high-traffic stream open until a record
 * comes. Short, so that a log that does not respond is detected soon.
 */
const HIGH_TRAFFIC_READ_WAIT_MILLIS = 400;
/** How long the log may keep a read of a low-traffic stream open. */
const LOW_TRAFFIC_READ_WAIT_MILLIS = 1000;
/** Options for following a stream with few records. */
const LOW_TRAFFIC_OPTIONS = {
  partition: ONLY_PARTITION,
  pauseMillis: () => LOW_TRAFFIC_READ_PAUSE_MILLIS,
  waitMillis: LOW_TRAFFIC_READ_WAIT_MILLIS,
};

/** Options of `createStreamLogPlugin`. */
export interface StreamLogPluginOptions extends Omit<
  ConfigurationStreamOptions,
  'createListener' | 'onMalformed'
> {
  readonly decodeWorker: DecodeWorker;
  readonly log: Log;
  /** Called for each malformed record, of which only some are logged. */
  readonly countMalformed?: (stream: StreamName) => void;
  /** Called for each read that failed, of which only the first in a row is logged. */
  readonly countFailedRead?: (stream: StreamName, kind: ReadFailure) => void;
}

/**
 * Dispatches the records that are read from the log as commands, and appends to
 * the log on effects. Every host reads the states of jobs and the configuration;
 * the standbys and the holder read the journal, and the holder the other streams.
 */
export function createStreamLogPlugin(options: StreamLogPluginOptions): Plugin {
  const {streams, log, countMalformed = () => undefined} = options;
  return kernel => {
    const reportMalformed = createMalformedReporter(log, countMalformed);
    const onMalformed = (stream: StreamName) => (key: string, reason: string) =>
      reportMalformed(stream, key, reason);
    const listenerFor = (stream: StreamName, partition = ONLY_PARTITION) =>
      createListenerFactory(stream, partition, log, options.countFailedRead);

    /** Options for following a stream that the holder writes. */
    const holderStreamOptions = {
      partition: ONLY_PARTITION,
      waitMillis: HIGH_TRAFFIC_READ_WAIT_MILLIS,
      pauseMillis: () =>
        heldTerm(kernel) === undefined
          ? FOLLOWER_READ_PAUSE_MILLIS
          : HOLDER_READ_PAUSE_MILLIS,
    };
    const states = streams.follow(
      {stream: 'states', ...holderStreamOptions},
      listenerFor('states')(({records, ...read}) => {
        const entries = decodeStates(records, onMalformed('states'));
        kernel.dispatch(STATES_READ, {entries, ...read});
      }),
    );
    let journal: FollowHandle | undefined;
    const allPartitions = Array.from(
      {length: streams.partitions},
      (_, partition) => partition,
    );

    function followJournal(): void {
      unfollowJournal();
      journal = streams.follow(
        {stream: 'progress', ...holderStreamOptions},
        listenerFor('progress')(({records, ...read}) => {
          const entries = decodeJournal(records, onMalformed('progress'));
          kernel.dispatch(JOURNAL_READ, {entries, ...read});
        }),
      );
    }

    function unfollowJournal(): void {
      journal?.stop();
      journal = undefined;
    }

    /** Handles of the streams that only the holder reads. */
    let holderStreams: FollowHandle[] = [];

    function isOver(jobId: string): boolean {
      const progress = kernel.read(DURABLE_PROGRESS).get(jobId);
      // Otherwise there are runs that may not be gone, which its job describes.
      return progress !== undefined && isProgressOver(progress);
    }

    function followHolderStreams(): void {
      unfollowHolderStreams();
      const hosts = streams.follow(
        {stream: 'hosts', ...LOW_TRAFFIC_OPTIONS},
        listenerFor('hosts')(({records}) =>
          kernel.dispatch(HOSTS_READ, {
            hosts: decodeHosts(records, onMalformed('hosts')),
          }),
        ),
      );
      holderStreams = [
        hosts,
        followWorkerRegistry(kernel, options, onMalformed('workers')),
      ];
      for (let partition = 0; partition < streams.partitions; partition++) {
        holderStreams.push(
          streams.follow(
            {
              stream: 'requests',
              partition,
              waitMillis: HIGH_TRAFFIC_READ_WAIT_MILLIS,
              pauseMillis: () => REQUESTS_READ_PAUSE_MILLIS,
            },
            listenerFor('requests', partition)(
              ({records, ...read}) =>
                applyRecords(
                  decodeRequests(records, isOver, onMalformed('requests')),
                  (requests, hasAll) => {
                    announceRevision(kernel, requests);
                    return kernel.dispatch(REQUESTS_READ, {
                      partition,
                      jobIds: hasAll ? jobIdsOf(records) : [],
                      completeUntil:
                        hasAll && reachedLogEnd(read) ? read.sentAt : undefined,
                      requests,
                    });
                  },
                ),
              kind => {
                const isRefused = kind === 'refused';
                kernel.dispatch(REQUESTS_READ_FAILED, {partition, isRefused});
              },
            ),
          ),
        );
      }
    }

    function unfollowHolderStreams(): void {
      holderStreams.forEach(handle => handle.stop());
      holderStreams = [];
    }

    return mergeUnregister(
      () => states.stop(),
      unfollowJournal,
      unfollowHolderStreams,
      kernel.register(
        createConfigurationStreamPlugin({
          ...options,
          createListener: listenerFor('configuration'),
          onMalformed: onMalformed('configuration'),
        }),
      ),
      kernel.register(
        createReserveStreamPlugin({
          streams,
          followOptions: LOW_TRAFFIC_OPTIONS,
          createListener: listenerFor('reserve'),
          onMalformed: onMalformed('reserve'),
        }),
      ),
      kernel.registerEffect(FOLLOW_JOURNAL, followJournal),
      kernel.registerEffect(UNFOLLOW_JOURNAL, unfollowJournal),
      kernel.registerEffect(READ_STATES_NOW, () => states.readNow()),
      kernel.registerEffect(FOLLOW_HOLDER_STREAMS, followHolderStreams),
      kernel.registerEffect(UNFOLLOW_HOLDER_STREAMS, unfollowHolderStreams),
      kernel.registerEffect(READ_JOURNAL_NOW, () => journal?.readNow()),
      kernel.registerEffect(APPEND_JOURNAL, request => {
        const {append, expectedEnd, entries, timeoutMillis} = request;
        const records = entries.map(encodeJournalEntry);
        const partition = ONLY_PARTITION;
        void streams
          .append({
            stream: 'progress',
            partition,
            records,
            expectedEnd,
            timeoutMillis,
          })
          .then(outcome =>
            kernel.dispatch(JOURNAL_APPEND_ENDED, {append, outcome}),
          );
      }),
      kernel.registerEffect(APPEND_STATES, request => {
        const {append, expectedEnd, entries, timeoutMillis} = request;
        const records = entries.map(encodeStateEntry);
        const partition = ONLY_PARTITION;
        void streams
          .append({
            stream: 'states',
            partition,
            records,
            expectedEnd,
            timeoutMillis,
          })
          .then(outcome =>
            kernel.dispatch(STATES_APPEND_ENDED, {append, outcome}),
          );
      }),
      kernel.registerEffect(APPEND_REQUESTS, request => {
        const {batchId, attempt, partition, requests, timeoutMillis} = request;
        const records = requests.map(encodeRequest);
        void streams
          .append({stream: 'requests', partition, records, timeoutMillis})
          .then((outcome: AppendOutcome) =>
            kernel.dispatch(REQUEST_APPEND_ENDED, {batchId, attempt, outcome}),
          );
      }),
      kernel.registerEffect(FORGET_REQUESTS, ({jobIds, partition}) => {
        const partitions =
          partition === undefined ? allPartitions : [partition];
        void forgetRequests(streams, partitions, jobIds, log).then(
          areDeleted => {
            if (areDeleted) {
              kernel.dispatch(REQUESTS_FORGOTTEN, {jobIds, partition});
            }
          },
        );
      }),
    );
  };
}

/** Tells by which revision of the configuration other hosts have admitted jobs. */
function announceRevision(kernel: Kernel, requests: readonly Request[]): void {
  const revisions = requests.flatMap(request =>
    request.kind === 'submit' && request.revision !== undefined
      ? [request.revision]
      : [],
  );
  if (revisions.length > 0) {
    kernel.dispatch(REVISION_KNOWN, {revision: Math.max(...revisions)});
  }
}

function followWorkerRegistry(
  kernel: Kernel,
  {streams, decodeWorker, log, countFailedRead}: StreamLogPluginOptions,
  onMalformed: OnMalformed,
): FollowHandle {
  const readRegistry = createWorkerRegistryReader(decodeWorker, onMalformed);
  const listener = createListenerFactory(
    'workers',
    ONLY_PARTITION,
    log,
    countFailedRead,
  );
  return streams.follow(
    {stream: 'workers', ...LOW_TRAFFIC_OPTIONS},
    listener(({records, isSnapshot}) => {
      const read = readRegistry(records, isSnapshot);
      const isEmpty = read.records.length + read.removed.length === 0;
      if (isEmpty && !isSnapshot) {
        return;
      }
      if (!kernel.dispatch(WORKER_REGISTRY_READ, read)) {
        applyEachWorker(kernel, read);
      }
    }),
  );
}

/** Applies what a read says of each worker in an update of its own. */
function applyEachWorker(
  kernel: Kernel,
  {records, removed}: PayloadOf<typeof WORKER_REGISTRY_READ>,
): void {
  for (const record of records) {
    const read = {records: [record], removed: [], isSnapshot: false};
    kernel.dispatch(WORKER_REGISTRY_READ, read);
  }
  for (const id of removed) {
    const read = {records: [], removed: [id], isSnapshot: false};
    kernel.dispatch(WORKER_REGISTRY_READ, read);
  }
}
