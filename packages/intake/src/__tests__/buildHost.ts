import {createJobStatesPlugin} from '@samphireramp/job-states';
import {type PayloadOf, createKernel} from '@samphireramp/kernel';
import type {AppendOutcome} from '@samphireramp/stream-log';
import {
  ANSWER_CALL,
  APPEND_REQUESTS,
  FLUSH_REQUESTS,
  HEDGE_REQUESTS,
  REQUEST_APPEND_ENDED,
  REQUEST_RECEIVED,
  SCHEDULE_FLUSH,
  SCHEDULE_HEDGE,
  createIntakePlugin,
} from '../index';

const PARTITIONS = 4;

/** A command that a timer of the host dispatches. */
interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/** Builds a host that accepts requests, with a clock that the test moves. */
export function buildHost() {
  const clock = {now: 1000};
  const appends: PayloadOf<typeof APPEND_REQUESTS>[] = [];
  const answers = new Map<string, string>();
  let timers: Timer[] = [];
  const kernel = createKernel({
    now: () => clock.now,
    onError: error => {
      throw error;
    },
  });
  kernel.register(
    createJobStatesPlugin({
      self: 'host-a',
      incarnation: 'incarnation-a',
      roundTripMillis: () => 1,
      followDelayMillis: () => 0,
    }),
  );
  kernel.register(createIntakePlugin({partitions: PARTITIONS}));
  const schedule = (millis: number, run: () => void) =>
    timers.push({at: clock.now + millis, run});
  kernel.registerEffect(APPEND_REQUESTS, append => appends.push(append));
  kernel.registerEffect(ANSWER_CALL, ({callId, answer}) =>
    answers.set(callId, answer.kind),
  );
  kernel.registerEffect(SCHEDULE_FLUSH, ({millis}) =>
    schedule(millis, () => kernel.dispatch(FLUSH_REQUESTS, undefined)),
  );
  kernel.registerEffect(SCHEDULE_HEDGE, ({millis, ...batch}) =>
    schedule(millis, () => kernel.dispatch(HEDGE_REQUESTS, batch)),
  );

  /** Lets time pass, in which timers fire. */
  const pass = (millis: number) => {
    const end = clock.now + millis;
    for (;;) {
      const next = timers
        .filter(({at}) => at <= end)
        .sort((a, b) => a.at - b.at)
        .at(0);
      if (next === undefined) {
        break;
      }
      timers = timers.filter(timer => timer !== next);
      clock.now = Math.max(clock.now, next.at);
      next.run();
    }
    clock.now = end;
  };
  /** Receives a request whose call id is the id of its job. */
  const receive = (jobId: string) => {
    const request = {kind: 'cancel', jobId, receivedAt: 0} as const;
    kernel.dispatch(REQUEST_RECEIVED, {callId: jobId, request});
  };
  /** Answers an append, by its place in `appends`. */
  const answer = (index: number, kind: 'appended' | 'refused' | 'unknown') => {
    const {batchId, attempt} = appends[index];
    const outcome: AppendOutcome =
      kind === 'appended'
        ? {kind, offset: 0, endOffset: 1}
        : {kind, detail: kind};
    kernel.dispatch(REQUEST_APPEND_ENDED, {batchId, attempt, outcome});
  };
  return {clock, kernel, appends, answers, pass, receive, answer};
}
