import {
  APPEND_JOURNAL,
  READ_JOURNAL_NOW,
  JOURNAL_APPENDED,
  JOURNAL_READ,
  heldTerm,
} from '@samphireramp/holding';
import {HOSTS_READ} from '@samphireramp/hosts';
import {APPEND_REQUESTS, REQUESTS_APPENDED} from '@samphireramp/intake';
import {type Kernel, type Plugin, mergeUnregister} from '@samphireramp/kernel';
import {
  CONFIGURATION_IN_FORCE,
  FOLLOW_SITE,
  FORGET_REQUESTS,
  REQUESTS_FORGOTTEN,
  REQUESTS_READ,
  UNFOLLOW_SITE,
} from '@samphireramp/dispatch';
import {WORKER_REGISTRY_READ, type WorkerRecord} from '@samphireramp/fleet';
import {
  decodeHosts,
  decodeJournal,
  decodeRequests,
  encodeForgottenRequests,
  encodeJournalEntry,
  encodeRequest,
} from '@samphireramp/record-codec';
import type {
  AppendOutcome,
  FollowHandle,
  StoredRecord,
  StreamListener,
  StreamLog,
  StreamName,
} from '@samphireramp/stream-log';
import type {SiteConfiguration} from '@samphireramp/jobs';
import type {Log} from '@samphireramp/telemetry';

/** The journal and other streams have one partition. */
const ONLY_PARTITION = 0;
/** Pauses between reads, so that a busy stream costs a bounded rate of calls. */
const JOURNAL_PACE_MILLIS = 100;
const OWN_JOURNAL_PACE_MILLIS = 1000;
const REQUESTS_PACE_MILLIS = 10;
const SLOW_PACE_MILLIS = 300;
const FORGET_TIMEOUT_MILLIS = 2000;
/** How long a busy stream's read waits: a silent one is noticed soon. */
const BUSY_WAIT_MILLIS = 400;
const RARE_WAIT_MILLIS = 1000;

/** How streams with few records are followed. */
const RARE = {
  partition: ONLY_PARTITION,
  minPauseMillis: () => SLOW_PACE_MILLIS,
  waitMillis: RARE_WAIT_MILLIS,
};

/** What the plug-in is given. */
export interface LogPluginOptions {
  readonly streams: StreamLog;
  readonly decodeConfiguration: (
    value: Buffer,
  ) => SiteConfiguration | undefined;
  readonly configurationKey: string;
  readonly decodeWorker: (
    id: string,
    value: Buffer,
  ) => WorkerRecord | undefined;
  readonly log: Log;
}

/** Carries records between the log and the decisions. */
export function createLogPlugin(options: LogPluginOptions): Plugin {
  const {streams, log} = options;
  return kernel => {
    const onMalformed = (stream: StreamName) => (key: string) =>
      log('record-malformed', {stream, key});
    const watch = (stream: StreamName, partition = ONLY_PARTITION) =>
      createWatch(stream, partition, log);

    const journal = streams.follow(
      {
        stream: 'progress',
        partition: ONLY_PARTITION,
        waitMillis: BUSY_WAIT_MILLIS,
        minPauseMillis: () =>
          heldTerm(kernel) === undefined
            ? JOURNAL_PACE_MILLIS
            : OWN_JOURNAL_PACE_MILLIS,
      },
      watch('progress')((records, end, isWhole) => {
        const entries = decodeJournal(records, onMalformed('progress'));
        kernel.dispatch(JOURNAL_READ, {entries, end, isSnapshot: isWhole});
      }),
    );
    const configuration = streams.follow(
      {stream: 'configuration', ...RARE},
      watch('configuration')(records =>
        takeConfiguration(kernel, options, records),
      ),
    );
    let ofHolder: FollowHandle[] = [];

    function followSite(): void {
      unfollowSite();
      const hosts = streams.follow(
        {stream: 'hosts', ...RARE},
        watch('hosts')(records =>
          kernel.dispatch(HOSTS_READ, {
            hosts: decodeHosts(records, onMalformed('hosts')),
          }),
        ),
      );
      ofHolder = [hosts, followWorkers(kernel, options)];
      for (let partition = 0; partition < streams.partitions; partition++) {
        ofHolder.push(
          streams.follow(
            {
              stream: 'requests',
              partition,
              waitMillis: BUSY_WAIT_MILLIS,
              minPauseMillis: () => REQUESTS_PACE_MILLIS,
            },
            watch(
              'requests',
              partition,
            )(records =>
              kernel.dispatch(REQUESTS_READ, {
                partition,
                requests: decodeRequests(records, onMalformed('requests')),
              }),
            ),
          ),
        );
      }
    }

    function unfollowSite(): void {
      ofHolder.forEach(handle => handle.stop());
      ofHolder = [];
    }

    return mergeUnregister(
      () => [journal, configuration].forEach(each => each.stop()),
      unfollowSite,
      kernel.registerEffect(FOLLOW_SITE, followSite),
      kernel.registerEffect(UNFOLLOW_SITE, unfollowSite),
      kernel.registerEffect(READ_JOURNAL_NOW, () => journal.readNow()),
      kernel.registerEffect(APPEND_JOURNAL, request => {
        const {batch, expectedEnd: at, entries, timeoutMillis} = request;
        const records = entries.map(encodeJournalEntry);
        const partition = ONLY_PARTITION;
        void streams
          .append({
            stream: 'progress',
            partition,
            records,
            expectedEnd: at,
            timeoutMillis,
          })
          .then(outcome => kernel.dispatch(JOURNAL_APPENDED, {batch, outcome}));
      }),
      kernel.registerEffect(APPEND_REQUESTS, request => {
        const {batchId, partition, requests, timeoutMillis} = request;
        const records = requests.map(encodeRequest);
        void streams
          .append({stream: 'requests', partition, records, timeoutMillis})
          .then((outcome: AppendOutcome) =>
            kernel.dispatch(REQUESTS_APPENDED, {batchId, outcome}),
          );
      }),
      kernel.registerEffect(FORGET_REQUESTS, ({jobIds}) => {
        void forgetRequests(streams, jobIds, log).then(isDone => {
          if (isDone) {
            kernel.dispatch(REQUESTS_FORGOTTEN, {jobIds});
          }
        });
      }),
    );
  };
}

/** Makes listeners that log when a stream is lost and regained. */
function createWatch(stream: StreamName, partition: number, log: Log) {
  let isLost = false;
  return (onRecords: StreamListener['onRecords']): StreamListener => ({
    onRecords: (records, end, isWhole) => {
      if (isLost) {
        isLost = false;
        log('stream-regained', {stream, partition, end});
      }
      onRecords(records, end, isWhole);
    },
    onFailure: detail => {
      if (!isLost) {
        isLost = true;
        log('stream-lost', {stream, partition, detail});
      }
    },
  });
}

function takeConfiguration(
  kernel: Kernel,
  {decodeConfiguration, configurationKey, log}: LogPluginOptions,
  records: readonly StoredRecord[],
): void {
  for (const {key, value, offset} of records) {
    if (key !== configurationKey) {
      continue;
    }
    const configuration = decodeConfiguration(value);
    if (configuration === undefined) {
      log('record-malformed', {stream: 'configuration', key, offset});
    } else {
      kernel.dispatch(CONFIGURATION_IN_FORCE, {configuration});
    }
  }
}

function followWorkers(
  kernel: Kernel,
  {streams, decodeWorker, log}: LogPluginOptions,
): FollowHandle {
  const listener = createWatch('workers', ONLY_PARTITION, log);
  return streams.follow(
    {stream: 'workers', ...RARE},
    listener((records, _, isWhole) => {
      const latest = new Map<string, Buffer>();
      for (const {key, value} of records) {
        latest.set(key, value);
      }
      const listed: WorkerRecord[] = [];
      const removed: string[] = [];
      for (const [id, value] of latest) {
        const worker = value.length === 0 ? undefined : decodeWorker(id, value);
        if (worker !== undefined) {
          listed.push(worker);
        } else if (value.length === 0) {
          removed.push(id);
        } else {
          log('record-malformed', {stream: 'workers', key: id});
        }
      }
      if (listed.length + removed.length > 0 || isWhole) {
        kernel.dispatch(WORKER_REGISTRY_READ, {
          records: listed,
          removed,
          isSnapshot: isWhole,
        });
      }
    }),
  );
}

/**
 * Drops requests from all partitions: a job may stand in any, and in several,
 * since a batch is sent again to another. Tells whether all are surely gone.
 */
async function forgetRequests(
  streams: StreamLog,
  jobIds: readonly string[],
  log: Log,
): Promise<boolean> {
  const records = jobIds.flatMap(encodeForgottenRequests);
  let isDone = true;
  for (let partition = 0; partition < streams.partitions; partition++) {
    const outcome = await streams.append({
      stream: 'requests',
      partition,
      records,
      timeoutMillis: FORGET_TIMEOUT_MILLIS,
    });
    isDone &&= outcome.kind === 'appended';
    log('requests-forgotten', {
      partition,
      count: jobIds.length,
      outcome: outcome.kind,
    });
  }
  return isDone;
}
