import {newProgress} from '@samphireramp/jobs';
import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {decodeJournal, encodeJournalEntry} from '../../index';

void t.test('replaced progress of a job is not decoded', async t => {
  const progress = newProgress(buildJob('00000000000000aa', [buildStep()]));
  const {key, value} = encodeJournalEntry({kind: 'progress', progress});
  const records = [0, 1, 2].map(offset => ({key, value, offset}));
  const malformed = {key, value: Buffer.from('?'), offset: 3};
  const malformedKeys: string[] = [];
  const entries = decodeJournal([...records, malformed], malformedKey =>
    malformedKeys.push(malformedKey),
  );
  t.strictSame(
    entries.map(({offset}) => offset),
    [2],
  );
  t.strictSame(malformedKeys, [key]);
});
