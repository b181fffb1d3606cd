import fc from 'fast-check';
import {pack} from 'msgpackr';
import t from 'tap';
import {PEER_SERVICE, checkEnvelope} from '../..';

const SEED = 3;
const {requestDeserialize, requestSerialize} = PEER_SERVICE.exchange;

void t.test('an envelope comes back as it was sent', async t => {
  const heartbeat = {
    type: 'heartbeat' as const,
    holding: ['tema/0'],
    revision: 4,
    leaving: false,
    incarnation: 'tema-e0.1',
  };
  const envelope = {from: 'tema-e0', zone: 'tema', messages: [heartbeat]};
  const checked = checkEnvelope(requestDeserialize(requestSerialize(envelope)));
  t.ok(checked.isOk());
  t.strictSame(checked.isOk() && checked.value, envelope);
});

void t.test('no bytes make reading throw, and none pass unchecked', async t => {
  t.comment(`seed ${SEED}`);
  const bytes = fc.uint8Array({maxLength: 200});
  const property = fc.property(bytes, noise =>
    checkEnvelope(requestDeserialize(Buffer.from(noise))).isErr(),
  );
  fc.assert(property, {seed: SEED, numRuns: 2000});
  t.pass();
});

void t.test('a message of another shape is refused with its place', async t => {
  const messages = [{type: 'heartbeat', holding: 'all'}];
  const raw = requestDeserialize(pack({from: 'a', zone: 'b', messages}));
  const checked = checkEnvelope(raw);
  t.match(checked.isErr() && checked.error.message, /^messages\.0\.holding/);
});
