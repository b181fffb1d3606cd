import {
  CONFIGURATION_IN_FORCE,
  CONFIGURATION_READ,
  READ_CONFIGURATION_NOW,
} from '@samphireramp/configuration';
import type {SiteConfiguration} from '@samphireramp/jobs';
import {type Kernel, type Plugin, mergeUnregister} from '@samphireramp/kernel';
import type {OnInvalid, OnMalformed} from '@samphireramp/record-codec';
import {
  type StoredRecord,
  type StreamListener,
  type StreamLog,
  reachedLogEnd,
} from '@samphireramp/stream-log';

const ONLY_PARTITION = 0;
/** Pause after a read of records; bounds the call rate. */
const READ_PAUSE_MILLIS = 300;
/** How long the log may keep a read open until a record comes. */
const READ_WAIT_MILLIS = 1000;
/**
 * Part of the greatest age of the configuration that one read may take, so that
 * a read that fails does not make the configuration outdated.
 */
const READ_SHARE = 0.25;
/** Lower bound of that time, which bounds the call rate. */
const MIN_READ_MILLIS = 50;

/** Options of `createConfigurationStreamPlugin`. */
export interface ConfigurationStreamOptions {
  readonly streams: StreamLog;
  readonly decodeConfiguration: (
    value: Buffer,
    onInvalid: OnInvalid,
  ) => SiteConfiguration | undefined;
  readonly configurationKey: string;
  /**
   * Age of the newest read of the configuration from which the host rejects calls;
   * undefined if it never does.
   */
  readonly maxConfigurationAgeMillis?: number;
  readonly createListener: (onRead: StreamListener['onRead']) => StreamListener;
  readonly onMalformed: OnMalformed;
}

/** Dispatches the configurations that are read from the log as commands. */
export function createConfigurationStreamPlugin(
  options: ConfigurationStreamOptions,
): Plugin {
  return kernel => {
    const handle = options.streams.follow(
      {
        stream: 'configuration',
        partition: ONLY_PARTITION,
        isHedged: true,
        ...readOptions(options.maxConfigurationAgeMillis),
      },
      options.createListener(({records, ...read}) => {
        applyConfiguration(kernel, options, records);
        if (reachedLogEnd(read)) {
          kernel.dispatch(CONFIGURATION_READ, {sentAt: read.sentAt});
        }
      }),
    );
    return mergeUnregister(
      () => handle.stop(),
      kernel.registerEffect(READ_CONFIGURATION_NOW, () => handle.readNow()),
    );
  };
}

/** Options of reads that are short compared to the greatest age of the result. */
function readOptions(maxAgeMillis = Infinity) {
  const maxReadMillis = Math.max(MIN_READ_MILLIS, maxAgeMillis * READ_SHARE);
  return {
    pauseMillis: () => Math.min(READ_PAUSE_MILLIS, maxReadMillis),
    waitMillis: Math.min(READ_WAIT_MILLIS, Math.floor(maxReadMillis)),
  };
}

function applyConfiguration(
  kernel: Kernel,
  {
    decodeConfiguration,
    configurationKey,
    onMalformed,
  }: ConfigurationStreamOptions,
  records: readonly StoredRecord[],
): void {
  for (const {key, value} of records) {
    if (key !== configurationKey) {
      continue;
    }
    const configuration = decodeConfiguration(value, reason =>
      onMalformed(key, reason),
    );
    if (configuration !== undefined) {
      kernel.dispatch(CONFIGURATION_IN_FORCE, {configuration});
    }
  }
}
