import fc from 'fast-check';
import t from 'tap';
import {
  CLOCK_DRIFT_BOUND,
  earliestHostTime,
  lowestWorkerClock,
  surelyAfter,
  surelyWithin,
} from '../..';

const SEED = 13;
const ROUNDING_MILLIS = 1e-6;

/** A worker's clock that runs at a rate, read within a round trip. */
const readings = fc.record({
  rate: fc.double({
    min: 1 - CLOCK_DRIFT_BOUND,
    max: 1 + CLOCK_DRIFT_BOUND,
    noNaN: true,
  }),
  sentAt: fc.integer({min: 0, max: 1e6}),
  outbound: fc.integer({min: 0, max: 5000}),
  inbound: fc.integer({min: 0, max: 5000}),
  later: fc.integer({min: 0, max: 60_000}),
});

void t.test('a worker never shows less than is counted on', async t => {
  t.comment(`seed ${SEED}`);
  const property = fc.property(readings, drawn => {
    const {rate, sentAt, outbound, inbound, later} = drawn;
    const readAt = sentAt + outbound;
    const receivedAt = readAt + inbound;
    const clockAt = (hostTime: number) => 500 + (hostTime - readAt) * rate;
    const reading = {workerClock: 500, sentAt, receivedAt};
    const hostTime = receivedAt + later;
    const lowest = lowestWorkerClock(reading, hostTime);
    return lowest <= clockAt(hostTime) + ROUNDING_MILLIS;
  });
  fc.assert(property, {seed: SEED});
  t.pass();
});

void t.test(
  'a worker never reaches a value before it is counted on',
  async t => {
    t.comment(`seed ${SEED}`);
    const property = fc.property(readings, drawn => {
      const {rate, sentAt, outbound, inbound, later} = drawn;
      const readAt = sentAt + outbound;
      const reading = {workerClock: 500, sentAt, receivedAt: readAt + inbound};
      const reachedAt = readAt + later / rate;
      return (
        earliestHostTime(reading, 500 + later) <= reachedAt + ROUNDING_MILLIS
      );
    });
    fc.assert(property, {seed: SEED});
    t.pass();
  },
);

void t.test(
  'a lease is surely held for less than it surely lapses',
  async t => {
    t.ok(surelyWithin(3000) < 3000);
    t.ok(surelyAfter(3000) > 3000);
  },
);
