import type {
  ReadFailure,
  StreamListener,
  StreamName,
} from '@samphireramp/stream-log';
import type {Log} from '@samphireramp/telemetry';

/**
 * Creates a function that turns a record handler into a listener. The listener
 * logs when reads of the partition start to fail and when they succeed again, and
 * counts each one that fails and calls `onFailed` for it.
 */
export function createListenerFactory(
  stream: StreamName,
  partition: number,
  log: Log,
  countFailedRead: (stream: StreamName, kind: ReadFailure) => void = () =>
    undefined,
) {
  let isLost = false;
  return (
    onRead: StreamListener['onRead'],
    onFailed: (kind: ReadFailure) => void = () => undefined,
  ): StreamListener => ({
    onRead: read => {
      if (isLost) {
        isLost = false;
        log('stream-regained', {
          stream,
          partition,
          end: read.endOffset,
          logEnd: read.logEndOffset,
        });
      }
      onRead(read);
    },
    onFailure: (detail, kind) => {
      countFailedRead(stream, kind);
      if (!isLost) {
        isLost = true;
        log('stream-lost', {stream, partition, detail});
      }
      onFailed(kind);
    },
  });
}
