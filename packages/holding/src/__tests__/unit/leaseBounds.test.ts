import t from 'tap';
import {
  DURABLE_LEASE_BOUNDS,
  HOLDING,
  HOLDING_TICK,
  JOURNAL_APPEND_ENDED,
  JOURNAL_READ,
  type JournalEntry,
  heldTerm,
  inheritedLeasesEndAt,
} from '../../index';
import {HOST_INCARNATION, HOST_NAME, buildHost} from '../buildHost';

const BOUND = {incarnation: 'i-1@7', term: 1, endsAtTermMillis: 9000};

/** Builds the record of a batch of another host. */
function holderEntry(
  term: number,
  batch: number,
  termMillis?: number,
): JournalEntry {
  const incarnation = `incarnation-${term}`;
  const record = {holder: 'host-b', incarnation, term, batch, termMillis};
  return {kind: 'holder', record: {...record, isResigned: false}};
}

/** Builds a host that reads entries at these times and then claims the site. */
function buildSuccessor(
  reads: ReadonlyArray<readonly [number, readonly JournalEntry[]]>,
) {
  const {clock, kernel} = buildHost();
  let endOffset = 0;
  for (const [now, entries] of reads) {
    clock.now = now;
    const beginOffset = endOffset;
    endOffset += entries.length;
    kernel.dispatch(JOURNAL_READ, {
      entries: entries.map((entry, index) => ({
        offset: beginOffset + index,
        entry,
      })),
      endOffset,
      logEndOffset: endOffset,
      sentAt: now,
      isSnapshot: beginOffset === 0,
    });
  }
  clock.now += 1000;
  kernel.dispatch(HOLDING_TICK, undefined);
  const outcome = {
    kind: 'appended',
    offset: endOffset,
    endOffset: endOffset + 1,
  } as const;
  kernel.dispatch(JOURNAL_APPEND_ENDED, {append: 0, outcome});
  return {clock, kernel};
}

/** When the leases of the incarnation end for a successor that read this. */
function leasesEndAt(
  reads: ReadonlyArray<readonly [number, readonly JournalEntry[]]>,
): number | undefined {
  const {kernel} = buildSuccessor(reads);
  t.ok(heldTerm(kernel));
  const bound = kernel.read(DURABLE_LEASE_BOUNDS).get(BOUND.incarnation);
  return bound && inheritedLeasesEndAt(kernel, bound);
}

void t.test('a bound counts from the beginning of the holding', async t => {
  const bound = {kind: 'lease-bound', bound: BOUND} as const;
  const batch = holderEntry(1, 4, 5000);
  t.equal(leasesEndAt([[20_000, [batch, bound]]]), 24_000);
  t.equal(
    leasesEndAt([
      [20_000, [batch, bound]],
      [20_200, [holderEntry(1, 5, 5150)]],
      [20_300, [holderEntry(1, 6, 5310)]],
    ]),
    23_990,
    'the read that tells most counts',
  );
  t.equal(
    leasesEndAt([[20_000, [holderEntry(1, 0), bound]]]),
    Infinity,
    'a holder whose time is not known',
  );
});

void t.test('a bound counts for the direct successor alone', async t => {
  const bound = {kind: 'lease-bound', bound: BOUND} as const;
  const reads = [[20_000, [holderEntry(1, 4, 5000), bound]]] as const;
  const next = [20_300, [holderEntry(7, 0), holderEntry(7, 1, 50)]] as const;
  t.equal(leasesEndAt([...reads, next]), undefined);
  const restated = {...BOUND, term: 7, endsAtTermMillis: 3000};
  const again = [
    20_400,
    [holderEntry(7, 2, 100), {kind: 'lease-bound', bound: restated}],
  ] as const;
  t.equal(leasesEndAt([...reads, next, again]), 23_250);
});

void t.test('a deleted bound counts no more', async t => {
  const bound = {kind: 'lease-bound', bound: BOUND} as const;
  const {incarnation} = BOUND;
  const lifted = {kind: 'lease-bound-lifted', incarnation} as const;
  const reads = [[20_000, [holderEntry(1, 4, 5000), bound]]] as const;
  const deletion = [20_200, [holderEntry(1, 5, 5200), lifted]] as const;
  t.equal(leasesEndAt([...reads, deletion]), undefined);
});

void t.test('a snapshot deletes the bounds that it does not have', async t => {
  const {clock, kernel} = buildHost();
  const batch = holderEntry(1, 4, 5000);
  const bound = {kind: 'lease-bound', bound: BOUND} as const;
  for (const entries of [[batch, bound], [batch]]) {
    clock.now += 100;
    kernel.dispatch(JOURNAL_READ, {
      entries: entries.map((entry, offset) => ({offset, entry})),
      endOffset: 2,
      logEndOffset: 2,
      sentAt: clock.now,
      isSnapshot: true,
    });
  }
  t.equal(kernel.read(DURABLE_LEASE_BOUNDS).size, 0);
});

void t.test('a claim that is found by a read proves nothing yet', async t => {
  const {clock, kernel, readEmptyJournal} = buildHost();
  readEmptyJournal();
  clock.now = 1000;
  kernel.dispatch(HOLDING_TICK, undefined);
  const outcome = {kind: 'unknown', detail: 'no answer'} as const;
  kernel.dispatch(JOURNAL_APPEND_ENDED, {append: 0, outcome});
  clock.now = 4000;
  kernel.dispatch(HOLDING_TICK, undefined);
  const claim = {holder: HOST_NAME, incarnation: HOST_INCARNATION};
  const record = {...claim, term: 1, batch: 0, isResigned: false};
  kernel.dispatch(JOURNAL_READ, {
    entries: [{offset: 0, entry: {kind: 'holder', record}}],
    endOffset: 1,
    logEndOffset: 1,
    sentAt: 4000,
    isSnapshot: false,
  });
  t.equal(heldTerm(kernel), 1);
  t.equal(kernel.read(HOLDING).get().confirmedAt, -Infinity);
});
