import {buildJob, buildStep} from '@samphireramp/testing';
import t from 'tap';
import {criticalPathMillis} from '../../index';

void t.test('a step may depend on another one any number of times', async t => {
  const after = Array.from({length: 200_000}, () => 0);
  const steps = [
    buildStep({estimateMillis: 5}),
    buildStep({estimateMillis: 7, after}),
    buildStep({estimateMillis: 6}),
  ];
  t.equal(criticalPathMillis(buildJob('00000000000000aa', steps)), 12);
});
