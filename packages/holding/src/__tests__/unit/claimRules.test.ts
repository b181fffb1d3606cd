import t from 'tap';
import {isClaimDue} from '../../claimRules';
import {HOLDING} from '../../HoldingState';
import type {HoldingState} from '../../HoldingState';

const OPTIONS = {
  self: 'host-a',
  incarnation: 'life-2',
  roundTripMillis: () => 10,
  claimDelayMillis: () => 0,
};
const NOW = 10_000;

function buildHolding(change: Partial<HoldingState>): HoldingState {
  const initial = HOLDING.create({record: () => undefined}).get();
  const latest = {
    holder: 'host-b',
    incarnation: 'life-1',
    term: 5,
    batch: 9,
    isResigned: false,
  };
  const fresh = {
    isCaughtUp: true,
    journalReadAt: NOW,
    holderHeardAt: NOW,
    latest,
  };
  return {...initial, ...fresh, ...change};
}

void t.test('a holder that was heard of is left alone', async t => {
  t.notOk(isClaimDue(OPTIONS, buildHolding({}), NOW));
  t.notOk(isClaimDue(OPTIONS, buildHolding({holderHeardAt: NOW - 530}), NOW));
  t.ok(isClaimDue(OPTIONS, buildHolding({holderHeardAt: NOW - 600}), NOW));
});

void t.test('a host that can not read the journal claims nothing', async t => {
  const cutOff = {holderHeardAt: 0, journalReadAt: NOW - 2000};
  t.notOk(isClaimDue(OPTIONS, buildHolding(cutOff), NOW));
  t.notOk(isClaimDue(OPTIONS, buildHolding({isCaughtUp: false}), NOW));
  const stopping = {holderHeardAt: 0, isStopping: true};
  t.notOk(isClaimDue(OPTIONS, buildHolding(stopping), NOW));
});

void t.test(
  'a resigned holder is replaced, and an own one, at once',
  async t => {
    const {latest} = buildHolding({});
    const resigned = latest && {...latest, isResigned: true};
    const soon = {holderHeardAt: NOW - 1};
    t.ok(isClaimDue(OPTIONS, buildHolding({...soon, latest: resigned}), NOW));
    const own = latest && {...latest, holder: 'host-a'};
    t.ok(isClaimDue(OPTIONS, buildHolding({latest: own}), NOW));
  },
);
