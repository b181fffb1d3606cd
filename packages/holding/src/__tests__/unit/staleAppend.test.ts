import t from 'tap';
import {
  APPEND_JOURNAL,
  HOLDING,
  HOLDING_TICK,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  heldTerm,
} from '../../index';
import {HOST_INCARNATION, HOST_NAME, buildHost} from '../buildHost';

/** Builds a host that counts its appends, and reads what the test says. */
function buildFollower() {
  const {clock, kernel, readEmptyJournal, readClaim} = buildHost();
  const appends: number[] = [];
  kernel.registerEffect(APPEND_JOURNAL, ({append}) => {
    appends.push(append);
  });
  readEmptyJournal();

  /** Sends a claim, after a silence, or a heartbeat. */
  const tickAfter = (millis: number) => {
    clock.now += millis;
    kernel.dispatch(JOURNAL_READ, {
      entries: [],
      endOffset: kernel.read(HOLDING).get().endOffset,
      logEndOffset: kernel.read(HOLDING).get().endOffset,
      sentAt: clock.now,
      isSnapshot: false,
    });
    kernel.dispatch(HOLDING_TICK, undefined);
  };

  /** Answers an append of this host: it is durable at an offset. */
  const answer = (append: number | undefined, offset: number) =>
    kernel.dispatch(JOURNAL_APPEND_ENDED, {
      append: append ?? -1,
      outcome: {kind: 'appended', offset, endOffset: offset + 1},
    });
  return {kernel, appends, readClaim, tickAfter, answer};
}

void t.test(
  'the outcome of a claim that another host replaced is not taken for that of the next',
  async t => {
    const {kernel, appends, readClaim, tickAfter, answer} = buildFollower();
    tickAfter(1000);
    readClaim(0, HOST_NAME, HOST_INCARNATION);
    readClaim(1, 'host-b', 'incarnation-b');
    t.equal(heldTerm(kernel), undefined);
    tickAfter(1000);
    t.equal(appends.length, 2);
    answer(appends[0], 0);
    t.equal(heldTerm(kernel), undefined);
    answer(appends[1], 2);
    t.equal(heldTerm(kernel), 3);
  },
);

void t.test(
  'the outcome of a batch of an earlier holding is not taken for that of the present one',
  async t => {
    const {kernel, appends, readClaim, tickAfter, answer} = buildFollower();
    tickAfter(1000);
    answer(appends[0], 0);
    tickAfter(200);
    readClaim(1, 'host-b', 'incarnation-b');
    tickAfter(1000);
    answer(appends[2], 2);
    tickAfter(200);
    t.equal(appends.length, 4);
    answer(appends[1], 1);
    t.not(kernel.read(HOLDING).get().batchInFlight, undefined);
    answer(appends[3], 3);
    t.equal(kernel.read(HOLDING).get().batchInFlight, undefined);
  },
);
