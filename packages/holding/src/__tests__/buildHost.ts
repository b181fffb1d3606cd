import {createKernel} from '@samphireramp/kernel';
import {
  HOLDING_TICK,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  createHoldingPlugin,
} from '../index';

/** Name of the host that `buildHost` builds. */
export const HOST_NAME = 'host-a';
/** Incarnation of the host that `buildHost` builds. */
export const HOST_INCARNATION = 'incarnation-a';

/** Builds a host with the holding plug-in and a clock that the test sets. */
export function buildHost() {
  const clock = {now: 0};
  const kernel = createKernel({
    now: () => clock.now,
    onError: error => {
      throw error;
    },
  });
  kernel.register(
    createHoldingPlugin({
      self: HOST_NAME,
      incarnation: HOST_INCARNATION,
      roundTripMillis: () => 1,
      claimDelayMillis: () => 0,
    }),
  );
  /** Reads that the journal is empty. */
  const readEmptyJournal = () =>
    kernel.dispatch(JOURNAL_READ, {
      entries: [],
      endOffset: 0,
      logEndOffset: 0,
      sentAt: 0,
      isSnapshot: true,
    });
  /** Claims the site at a time; the claim becomes the first record. */
  const claimAt = (now: number) => {
    clock.now = now;
    kernel.dispatch(HOLDING_TICK, undefined);
    const outcome = {kind: 'appended', offset: 0, endOffset: 1} as const;
    kernel.dispatch(JOURNAL_APPEND_ENDED, {append: 0, outcome});
  };
  /** Reads the claim of a host, after which the reserve journal may be in use. */
  const readClaim = (
    offset: number,
    holder: string,
    incarnation: string,
    reserveEnd?: number,
  ) => {
    const term = offset + 1;
    const claim = {holder, incarnation, term, batch: 0, isResigned: false};
    const record = {...claim, reserveEnd};
    kernel.dispatch(JOURNAL_READ, {
      entries: [{offset, entry: {kind: 'holder', record}}],
      endOffset: offset + 1,
      logEndOffset: offset + 1,
      sentAt: clock.now,
      isSnapshot: offset === 0,
    });
  };
  return {clock, kernel, readEmptyJournal, claimAt, readClaim};
}
