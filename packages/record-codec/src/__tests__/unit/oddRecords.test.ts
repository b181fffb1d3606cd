import type {LogRecord} from '@samphireramp/stream-log';
import t from 'tap';
import {
  type OnMalformed,
  decodeHosts,
  decodeJournal,
  decodeRequests,
  decodeStates,
} from '../../index';

const DEPTH = 200_000;
/** So many invalid elements overflow the stack of the library that checks them. */
const MANY = 200_000;
const NUMBERS = `[${'1,'.repeat(MANY)}1]`;

/** Values of records that are of no form that any stream has. */
const ODD_VALUES = {
  'no JSON': '{',
  null: 'null',
  'a number that is too large': '1e999',
  'deep arrays': '['.repeat(DEPTH) + ']'.repeat(DEPTH),
  'deep objects': `[${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}]`,
  'many numbers': NUMBERS,
  'many numbers in fields': `{"steps":${NUMBERS},"policy":${NUMBERS},"receivedAt":{"valueOf":1,"toString":1}}`,
  'many numbers in a row': `["q","queued",0,0,0,${NUMBERS},[[0,[${NUMBERS}]]]]`,
};

/** Decoders of a stream by a key of it, each with the number of valid records. */
const DECODERS: Readonly<
  Record<string, (records: LogRecord[], onMalformed: OnMalformed) => number>
> = {
  'host-a': (records, onMalformed) =>
    decodeHosts(withOffsets(records), onMalformed).length,
  'job.00000000000000aa': (records, onMalformed) =>
    decodeRequests(withOffsets(records), () => false, onMalformed).length,
  'cancel.00000000000000aa': (records, onMalformed) =>
    decodeRequests(withOffsets(records), () => false, onMalformed).length,
  'job.00000000000000ab': (records, onMalformed) =>
    decodeJournal(withOffsets(records), onMalformed).length,
  holder: (records, onMalformed) =>
    decodeJournal(withOffsets(records), onMalformed).length,
  standbys: (records, onMalformed) =>
    decodeStates(withOffsets(records), onMalformed).length,
  'other key': (records, onMalformed) =>
    decodeStates(withOffsets(records), onMalformed).length,
};

function withOffsets(records: readonly LogRecord[]) {
  return records.map((record, offset) => ({...record, offset}));
}

for (const [key, decode] of Object.entries(DECODERS)) {
  for (const [kind, text] of Object.entries(ODD_VALUES)) {
    void t.test(`${key}: ${kind} is malformed, alone`, async t => {
      const malformed: string[] = [];
      const reasons: string[] = [];
      const value = Buffer.from(text);
      const count = decode([{key, value}], (malformedKey, reason) => {
        malformed.push(malformedKey);
        reasons.push(reason);
      });
      t.equal(count, 0);
      t.same(malformed, [key]);
      t.ok(reasons[0].length > 0 && reasons[0].length < 200, reasons[0]);
    });
  }
}

void t.test('a record after a malformed one is decoded', async t => {
  const malformed: string[] = [];
  const requests = decodeRequests(
    withOffsets([
      {key: 'cancel.a', value: Buffer.from(ODD_VALUES['many numbers'])},
      {
        key: 'cancel.b',
        value: Buffer.from(ODD_VALUES['many numbers in fields']),
      },
      {key: 'cancel.c', value: Buffer.from('{"receivedAt":5}')},
    ]),
    () => false,
    key => malformed.push(key),
  );
  t.same(requests, [{kind: 'cancel', jobId: 'c', receivedAt: 5}]);
  t.same(malformed, ['cancel.a', 'cancel.b']);
});

void t.test('a deep unknown field does no harm', async t => {
  const deep = '{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH);
  const value = Buffer.from(`{"receivedAt":5,"odd":${deep}}`);
  const [request] = decodeRequests(
    withOffsets([{key: 'cancel.a', value}]),
    () => false,
    () => undefined,
  );
  t.same(request, {kind: 'cancel', jobId: 'a', receivedAt: 5});
});
