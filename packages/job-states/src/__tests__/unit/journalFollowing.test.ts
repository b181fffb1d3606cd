import {HOLDING, JOURNAL_READ} from '@samphireramp/holding';
import t from 'tap';
import {HOST_NAME, OTHER_HOLDER, buildHost} from '../buildHost';

const HOLDER_ENTRY = {kind: 'holder', record: OTHER_HOLDER} as const;

function namedStandbys(hosts: readonly string[]) {
  return {kind: 'standbys', hosts} as const;
}

void t.test('every host follows until a holder names standbys', async t => {
  const {followed, readStates} = buildHost();
  readStates([]);
  t.same(followed, [true]);
  readStates([HOLDER_ENTRY]);
  t.same(followed, [true]);
  readStates([namedStandbys(['host-b'])], 1);
  t.same(followed, [true, false]);
});

void t.test('a host follows nothing before it has read the states', async t => {
  const {followed, tickAt} = buildHost();
  tickAt(60_000);
  t.same(followed, []);
});

void t.test('a host that is named follows', async t => {
  const {followed, readStates} = buildHost();
  readStates([HOLDER_ENTRY, namedStandbys(['host-b'])]);
  t.same(followed, []);
  readStates([namedStandbys([HOST_NAME])], 2);
  t.same(followed, [true]);
});

void t.test('other hosts follow while the holder is silent', async t => {
  const {followed, readStates, tickAt} = buildHost();
  readStates([HOLDER_ENTRY, namedStandbys(['host-b'])]);
  tickAt(1500);
  t.same(followed, [], 'the standbys have time to claim');
  tickAt(1600);
  t.same(followed, [true]);
  readStates([HOLDER_ENTRY], 2);
  t.same(followed, [true, false]);
});

void t.test('a host that follows no more claims nothing', async t => {
  const {kernel, readStates, tickAt} = buildHost();
  readStates([]);
  kernel.dispatch(JOURNAL_READ, {
    entries: [{offset: 0, entry: HOLDER_ENTRY}],
    endOffset: 1,
    logEndOffset: 1,
    sentAt: 0,
    isSnapshot: true,
  });
  readStates([HOLDER_ENTRY, namedStandbys(['host-b'])]);
  t.equal(kernel.read(HOLDING).get().isCaughtUp, false);
  tickAt(3000);
  t.equal(kernel.read(HOLDING).get().phase, 'following');
});
