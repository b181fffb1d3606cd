import t from 'tap';
import {HOLDING, JOURNAL_READ, type JournalRead} from '../../index';
import {buildHost} from '../buildHost';

/** A follower's copy of the journal, and what the holder writes there. */
function buildFollower() {
  const {clock, kernel} = buildHost();
  const holder = {holder: 'host-b', incarnation: 'incarnation-b', term: 1};
  const buildBatch = (batch: number, requestsAgeMillis?: number) => ({
    offset: batch,
    entry: {
      kind: 'holder' as const,
      record: {...holder, batch, isResigned: false, requestsAgeMillis},
    },
  });
  /** Reads entries at a time; the log ends there unless `read` says otherwise. */
  const readAt = (
    now: number,
    entries: JournalRead['entries'],
    read: Partial<JournalRead> = {},
  ) => {
    clock.now = now;
    const endOffset = Math.max(0, ...entries.map(({offset}) => offset + 1));
    kernel.dispatch(JOURNAL_READ, {
      entries,
      endOffset,
      logEndOffset: endOffset,
      sentAt: now,
      isSnapshot: false,
      ...read,
    });
    return kernel.read(HOLDING).get().jobsCompleteUntil;
  };
  return {buildBatch, readAt};
}

void t.test('a batch tells the age from its predecessor', async t => {
  const {buildBatch, readAt} = buildFollower();
  readAt(1000, [], {isSnapshot: true});
  t.equal(readAt(1100, [buildBatch(0)]), -Infinity);
  // Batch 0 was appended after the read at 1000, however late batch 1 was.
  t.equal(readAt(5000, [buildBatch(1, 300)]), 700);
  t.equal(readAt(5100, [buildBatch(2, -50)]), 1150);
});

void t.test('a batch that tells no age leaves the knowledge', async t => {
  const {buildBatch, readAt} = buildFollower();
  readAt(1000, [], {isSnapshot: true});
  readAt(1100, [buildBatch(0)]);
  t.equal(readAt(1200, [buildBatch(1, 300)]), 700);
  t.equal(readAt(1300, [buildBatch(2)]), 700);
  t.equal(readAt(1400, [buildBatch(4, 0)]), 700, 'batch 3 was not read');
});

void t.test('a batch counts once the journal is read to its end', async t => {
  const {buildBatch, readAt} = buildFollower();
  readAt(1000, [], {isSnapshot: true});
  readAt(1100, [buildBatch(0)]);
  const page = {logEndOffset: 9};
  t.equal(readAt(1200, [buildBatch(1, 300)], page), -Infinity);
  // Neither page proves anything newer than the last read that was complete.
  t.equal(readAt(1300, [buildBatch(2, 300)], page), -Infinity);
  t.equal(readAt(1400, [], {endOffset: 9, logEndOffset: 9}), 800);
});

void t.test('the holder record of a snapshot tells nothing', async t => {
  const {buildBatch, readAt} = buildFollower();
  const snapshot = {isSnapshot: true};
  t.equal(readAt(1000, [buildBatch(5, 10)], snapshot), -Infinity);
  t.equal(readAt(1100, [buildBatch(6, 10)]), -Infinity);
  t.equal(readAt(1200, [buildBatch(7, 10)]), 990);
});

void t.test('the batch of a snapshot tells no age to the next one', async t => {
  const {buildBatch, readAt} = buildFollower();
  readAt(1000, [], {isSnapshot: true});
  readAt(5000, [buildBatch(5, 0)], {isSnapshot: true});
  t.equal(readAt(5100, [buildBatch(6, 0)]), -Infinity);
  t.equal(readAt(5200, [buildBatch(7, 0)]), 5000);
});
