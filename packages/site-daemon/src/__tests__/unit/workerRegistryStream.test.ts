import type {WorkerRecord} from '@samphireramp/fleet';
import type {StoredRecord} from '@samphireramp/stream-log';
import t from 'tap';
import {createMalformedReporter} from '../../malformedRecords';
import {createWorkerRegistryReader} from '../../workerRegistryStream';

const ODD = 'odd';
const REMOVED = '';

/** A reader of entries whose value is the address of the worker. */
function buildReader() {
  const malformed: string[] = [];
  const read = createWorkerRegistryReader(
    (id, value, onInvalid) => {
      if (value.toString() === ODD) {
        onInvalid('address');
        return undefined;
      }
      return {id, address: value.toString()} as WorkerRecord;
    },
    key => malformed.push(key),
  );
  const readPage = (
    entries: ReadonlyArray<readonly [string, string]>,
    isSnapshot = false,
  ) => {
    const {records, removed} = read(
      entries.map(([key, value], offset): StoredRecord => ({
        key,
        value: Buffer.from(value),
        offset,
      })),
      isSnapshot,
    );
    return {
      addresses: records.map(({id, address}) => `${id} ${address}`),
      removed,
    };
  };
  return {readPage, malformed};
}

void t.test('an odd entry hides no valid one of its page', async t => {
  const {readPage, malformed} = buildReader();
  t.same(
    readPage([
      ['a', 'first'],
      ['a', 'second'],
      ['b', 'other'],
      ['a', ODD],
      ['a', ODD],
    ]),
    {addresses: ['a second', 'b other'], removed: []},
  );
  t.same(malformed, ['a', 'a']);
});

void t.test('an odd entry hides no removal of its page', async t => {
  const {readPage} = buildReader();
  const entries = [
    ['a', 'first'],
    ['a', REMOVED],
    ['a', ODD],
  ] as const;
  t.same(readPage(entries), {addresses: [], removed: ['a']});
});

void t.test('an odd entry of a snapshot leaves its worker listed', async t => {
  const {readPage} = buildReader();
  readPage([
    ['a', 'first'],
    ['b', 'other'],
    ['c', 'third'],
  ]);
  readPage([['c', REMOVED]]);
  const snapshot = [
    ['a', ODD],
    ['c', ODD],
    ['d', ODD],
  ] as const;
  t.same(readPage(snapshot, true), {addresses: ['a first'], removed: []});
  t.same(readPage(snapshot, true), {addresses: ['a first'], removed: []});
  t.same(readPage([], true), {addresses: [], removed: []});
  t.same(readPage(snapshot, true), {addresses: [], removed: []});
});

void t.test('malformed records are counted, and logged by key', async t => {
  const lines: unknown[] = [];
  let counted = 0;
  const report = createMalformedReporter(
    (event, fields) => lines.push({event, ...fields}),
    () => counted++,
  );
  report('workers', 'a', 'address');
  report('workers', 'a', 'born');
  report('hosts', 'a', 'name');
  t.equal(counted, 3);
  t.same(lines, [
    {
      event: 'record-malformed',
      stream: 'workers',
      key: 'a',
      detail: 'address',
    },
    {event: 'record-malformed', stream: 'hosts', key: 'a', detail: 'name'},
  ]);
  for (let number = 0; number < 5000; number++) {
    report('workers', `key-${number}`, 'address');
  }
  t.equal(counted, 5003);
  t.equal(lines.length, 1000, 'the log is bounded');
});
