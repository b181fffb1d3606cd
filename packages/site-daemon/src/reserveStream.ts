import {
  APPEND_RESERVE,
  FOLLOW_RESERVE,
  READ_RESERVE_NOW,
  RESERVE_APPEND_ENDED,
  RESERVE_READ,
  RESERVE_READ_FAILED,
  UNFOLLOW_RESERVE,
} from '@samphireramp/holding';
import {type Plugin, mergeUnregister} from '@samphireramp/kernel';
import {
  type OnMalformed,
  decodeReserve,
  encodeReserveEntry,
} from '@samphireramp/record-codec';
import type {
  FollowHandle,
  FollowOptions,
  StreamListener,
  StreamLog,
} from '@samphireramp/stream-log';

/** Options of `createReserveStreamPlugin`. */
export interface ReserveStreamOptions {
  readonly streams: StreamLog;
  readonly followOptions: Omit<FollowOptions, 'stream'>;
  readonly createListener: (onRead: StreamListener['onRead']) => StreamListener;
  readonly onMalformed: OnMalformed;
}

/**
 * Appends to the reserve journal on effects, and reads it while this host holds the site
 * or takes it over: the holder so learns whether it can be read.
 */
export function createReserveStreamPlugin({
  streams,
  followOptions,
  createListener,
  onMalformed,
}: ReserveStreamOptions): Plugin {
  const {partition} = followOptions;
  return kernel => {
    let reads: FollowHandle | undefined;

    function unfollow(): void {
      reads?.stop();
      reads = undefined;
    }

    function follow(): void {
      unfollow();
      const listener = createListener(({records, ...read}) => {
        const entries = decodeReserve(records, onMalformed);
        kernel.dispatch(RESERVE_READ, {entries, ...read});
      });
      reads = streams.follow(
        {stream: 'reserve', ...followOptions},
        {
          onRead: read => listener.onRead(read),
          onFailure: (detail, kind) => {
            kernel.dispatch(RESERVE_READ_FAILED, undefined);
            listener.onFailure(detail, kind);
          },
        },
      );
    }

    return mergeUnregister(
      unfollow,
      kernel.registerEffect(FOLLOW_RESERVE, follow),
      kernel.registerEffect(UNFOLLOW_RESERVE, unfollow),
      kernel.registerEffect(READ_RESERVE_NOW, () => reads?.readNow()),
      kernel.registerEffect(APPEND_RESERVE, request => {
        const {batch, expectedEnd, entries, timeoutMillis} = request;
        const records = entries.map(encodeReserveEntry);
        void streams
          .append({
            stream: 'reserve',
            partition,
            records,
            expectedEnd,
            timeoutMillis,
          })
          .then(outcome =>
            kernel.dispatch(RESERVE_APPEND_ENDED, {batch, outcome}),
          );
      }),
    );
  };
}
