import t from 'tap';
import {
  APPEND_RESERVE,
  HOLDING_TICK,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  RESERVE_APPEND_ENDED,
  RESERVE_READ,
  heldTerm,
} from '../../index';
import {HOST_INCARNATION, HOST_NAME, buildHost} from '../buildHost';

void t.test(
  'the outcome of a fence of an earlier claim is not taken for that of the newest',
  async t => {
    const {clock, kernel, readClaim} = buildHost();
    const fences: number[] = [];
    kernel.registerEffect(APPEND_RESERVE, ({batch}) => fences.push(batch));
    /** Reads a claim of another host, which may use the reserve journal. */
    const readOtherClaim = (offset: number) =>
      readClaim(offset, 'host-b', 'incarnation-b', 5);
    /** Claims the site, and reads the end of the reserve journal. */
    const claim = (offset: number, append: number) => {
      clock.now += 2000;
      kernel.dispatch(JOURNAL_READ, {
        entries: [],
        endOffset: offset,
        logEndOffset: offset,
        sentAt: clock.now,
        isSnapshot: false,
      });
      kernel.dispatch(HOLDING_TICK, undefined);
      const outcome = {
        kind: 'appended',
        offset,
        endOffset: offset + 1,
      } as const;
      kernel.dispatch(JOURNAL_APPEND_ENDED, {append, outcome});
      kernel.dispatch(RESERVE_READ, {
        entries: [],
        endOffset: 5,
        logEndOffset: 5,
        sentAt: clock.now,
        isSnapshot: true,
      });
    };
    const outcome = {kind: 'appended', offset: 5, endOffset: 6} as const;

    readOtherClaim(0);
    claim(1, 0);
    t.equal(fences.length, 1, `${HOST_NAME} ${HOST_INCARNATION} fences`);
    readOtherClaim(2);
    claim(3, 1);
    t.equal(fences.length, 2);
    kernel.dispatch(RESERVE_APPEND_ENDED, {batch: fences[0], outcome});
    t.equal(heldTerm(kernel), undefined);
    kernel.dispatch(RESERVE_APPEND_ENDED, {batch: fences[1], outcome});
    t.equal(heldTerm(kernel), 4);
  },
);
