import fc from 'fast-check';
import type {LogRecord, Revision} from '@samphireramp/model';
import {buildDeclaration} from '@samphireramp/testing';
import t from 'tap';
import {applyRecord} from '../..';

const SEED = 7;
const declaration = buildDeclaration();

function buildRecord(offset: number, expectedRevision: number): LogRecord {
  const body = {
    changeId: `change-${offset}`,
    author: 'operator',
    expectedRevision,
    declaration,
  };
  return {offset, appendedAt: offset, body};
}

function readAll(records: readonly LogRecord[], from?: Revision) {
  let current = from;
  const seen: number[] = [];
  for (const record of records) {
    current = applyRecord(current, record).revision;
    seen.push(current?.revision ?? 0);
  }
  return {current, seen};
}

void t.test('of two racing changes the first by offset wins', async t => {
  const first = applyRecord(undefined, buildRecord(0, 0));
  const second = applyRecord(first.revision, buildRecord(1, 0));
  t.equal(first.audit.outcome, 'accepted');
  t.equal(second.audit.outcome, 'lost-race');
  t.equal(second.audit.inForce, 1);
  t.equal(second.revision?.revision, 1);
});

void t.test('a record that cannot be read changes nothing', async t => {
  const first = applyRecord(undefined, buildRecord(0, 0));
  const bad = {offset: 1, appendedAt: 1, body: {declaration: 'x'}};
  const verdict = applyRecord(first.revision, bad);
  t.equal(verdict.audit.outcome, 'unreadable');
  t.equal(verdict.revision?.revision, 1);
});

void t.test('no reader ever reverts, and all agree', async t => {
  t.comment(`seed ${SEED}`);
  const expected = fc.array(fc.integer({min: 0, max: 20}), {maxLength: 20});
  const property = fc.property(expected, fc.nat(20), (list, split) => {
    const records = list.map((value, index) => buildRecord(index, value));
    const whole = readAll(records);
    const head = readAll(records.slice(0, split));
    const tail = readAll(records.slice(split), head.current);
    const isRising = whole.seen.every(
      (value, index) => index === 0 || value >= whole.seen[index - 1],
    );
    return isRising && tail.current?.revision === whole.current?.revision;
  });
  fc.assert(property, {seed: SEED});
  t.pass();
});
