import {
  HOLDING_TICK,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  type HolderRecord,
  createHoldingPlugin,
} from '@samphireramp/holding';
import {HOSTS_READ, createHostsPlugin} from '@samphireramp/hosts';
import {type PayloadOf, createKernel} from '@samphireramp/kernel';
import {
  APPEND_STATES,
  FOLLOW_JOURNAL,
  STATES_APPEND_ENDED,
  STATES_READ,
  type StateEntry,
  UNFOLLOW_JOURNAL,
  createJobStatesPlugin,
} from '../index';

/** Name of the host that `buildHost` builds. */
export const HOST_NAME = 'host-a';

/** A record of another holder. */
export const OTHER_HOLDER: HolderRecord = {
  holder: 'host-b',
  incarnation: 'incarnation-b',
  term: 9,
  batch: 3,
  isResigned: false,
};

/** Builds a host that keeps job states, with a clock that the test sets. */
export function buildHost() {
  const clock = {now: 0};
  const appends: PayloadOf<typeof APPEND_STATES>[] = [];
  const followed: boolean[] = [];
  const kernel = createKernel({
    now: () => clock.now,
    onError: error => {
      throw error;
    },
  });
  const identity = {self: HOST_NAME, incarnation: 'incarnation-a'};
  const roundTripMillis = () => 1;
  kernel.register(createHostsPlugin());
  kernel.register(
    createHoldingPlugin({
      ...identity,
      roundTripMillis,
      claimDelayMillis: () => 0,
    }),
  );
  kernel.register(
    createJobStatesPlugin({
      ...identity,
      roundTripMillis,
      followDelayMillis: () => 0,
    }),
  );
  kernel.registerEffect(APPEND_STATES, append => appends.push(append));
  kernel.registerEffect(FOLLOW_JOURNAL, () => followed.push(true));
  kernel.registerEffect(UNFOLLOW_JOURNAL, () => followed.push(false));

  /** Reads entries of the states stream, up to its end. */
  const readStates = (entries: readonly StateEntry[], from = 0) => {
    const endOffset = from + entries.length;
    kernel.dispatch(STATES_READ, {
      entries: entries.map((entry, index) => ({offset: from + index, entry})),
      endOffset,
      logEndOffset: endOffset,
      sentAt: clock.now,
      isSnapshot: false,
    });
  };
  /** Makes this host the holder; the journal and the states are empty. */
  const beginHolding = () => {
    readStates([]);
    kernel.dispatch(JOURNAL_READ, {
      entries: [],
      endOffset: 0,
      logEndOffset: 0,
      sentAt: clock.now,
      isSnapshot: true,
    });
    clock.now += 1000;
    const record = {name: HOST_NAME, address: '', zone: 'z', region: 'r'};
    kernel.dispatch(HOSTS_READ, {hosts: [record]});
    readStates([]);
    kernel.dispatch(JOURNAL_READ, {
      entries: [],
      endOffset: 0,
      logEndOffset: 0,
      sentAt: clock.now,
      isSnapshot: false,
    });
    kernel.dispatch(HOLDING_TICK, undefined);
    const outcome = {kind: 'appended', offset: 0, endOffset: 1} as const;
    kernel.dispatch(JOURNAL_APPEND_ENDED, {append: 0, outcome});
  };
  /** Answers the newest append to the states stream. */
  const answerAppend = (
    outcome: PayloadOf<typeof STATES_APPEND_ENDED>['outcome'],
  ) => {
    const append = appends.at(-1)?.append ?? 0;
    kernel.dispatch(STATES_APPEND_ENDED, {append, outcome});
  };
  const tickAt = (now: number) => {
    clock.now = now;
    kernel.dispatch(HOLDING_TICK, undefined);
  };
  return {
    clock,
    kernel,
    appends,
    followed,
    readStates,
    beginHolding,
    answerAppend,
    tickAt,
  };
}
