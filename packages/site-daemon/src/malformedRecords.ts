import type {StreamName} from '@samphireramp/stream-log';
import type {Log} from '@samphireramp/telemetry';

/** Maximum number of keys that are logged; later ones are only counted. */
const MAX_LOGGED_KEYS = 1000;

/** Reports a malformed record of a stream. */
export type ReportMalformed = (
  stream: StreamName,
  key: string,
  reason: string,
) => void;

/**
 * Creates a function that counts each malformed record and logs the first one of
 * each key: another writer may write the same record again many times a second. Of
 * the configuration, which only operators write, the first one of each reason.
 */
export function createMalformedReporter(
  log: Log,
  count: (stream: StreamName) => void,
): ReportMalformed {
  const loggedKeys = new Set<string>();
  return (stream, key, reason) => {
    count(stream);
    const suffix = stream === 'configuration' ? ` ${reason}` : '';
    const streamKey = `${stream} ${key}${suffix}`;
    if (loggedKeys.size < MAX_LOGGED_KEYS && !loggedKeys.has(streamKey)) {
      loggedKeys.add(streamKey);
      log('record-malformed', {stream, key, detail: reason});
    }
  };
}
