import t from 'tap';
import {isClaimDue} from '../../claimRules';
import {HOLDING} from '../../HoldingState';
import type {HoldingState} from '../../HoldingState';

const OPTIONS = {
  self: 'host-a',
  incarnation: 'incarnation-2',
  roundTripMillis: () => 10,
  claimDelayMillis: () => 0,
};
const NOW = 10_000;

function buildHolding(change: Partial<HoldingState>): HoldingState {
  const initial = HOLDING.create({recordFirst: () => undefined}).get();
  const latestHolderRecord = {
    holder: 'host-b',
    incarnation: 'incarnation-1',
    term: 5,
    batch: 9,
    isResigned: false,
  };
  const heldByOther = {
    isCaughtUp: true,
    readAt: NOW,
    holderHeardAt: NOW,
    latestHolderRecord,
  };
  return {...initial, ...heldByOther, ...change};
}

void t.test(
  'no claim is due until the holder has been silent for the timeout',
  async t => {
    t.notOk(isClaimDue(OPTIONS, buildHolding({}), NOW));
    t.notOk(isClaimDue(OPTIONS, buildHolding({holderHeardAt: NOW - 530}), NOW));
    t.ok(isClaimDue(OPTIONS, buildHolding({holderHeardAt: NOW - 600}), NOW));
  },
);

void t.test(
  'no claim is due without a recent journal read or while stopping',
  async t => {
    const staleRead = {holderHeardAt: 0, readAt: NOW - 2000};
    t.notOk(isClaimDue(OPTIONS, buildHolding(staleRead), NOW));
    t.notOk(isClaimDue(OPTIONS, buildHolding({isCaughtUp: false}), NOW));
    const stopping = {holderHeardAt: 0, isStopping: true};
    t.notOk(isClaimDue(OPTIONS, buildHolding(stopping), NOW));
  },
);

void t.test('no claim is due while a backlog is read', async t => {
  const silent = {holderHeardAt: NOW - 600, endOffset: 40};
  t.ok(isClaimDue(OPTIONS, buildHolding({...silent, logEndOffset: 40}), NOW));
  t.notOk(
    isClaimDue(OPTIONS, buildHolding({...silent, logEndOffset: 41}), NOW),
  );
});

void t.test(
  'a claim is due at once if the holder resigned or was this host',
  async t => {
    const {latestHolderRecord} = buildHolding({});
    const resigned = latestHolderRecord && {
      ...latestHolderRecord,
      isResigned: true,
    };
    const heardJustNow = {holderHeardAt: NOW - 1};
    t.ok(
      isClaimDue(
        OPTIONS,
        buildHolding({...heardJustNow, latestHolderRecord: resigned}),
        NOW,
      ),
    );
    const own = latestHolderRecord && {...latestHolderRecord, holder: 'host-a'};
    t.ok(isClaimDue(OPTIONS, buildHolding({latestHolderRecord: own}), NOW));
  },
);
