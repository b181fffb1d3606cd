import fc from 'fast-check';
import type {WorkChange} from '@samphireramp/model';
import t from 'tap';
import {joinChanges} from '../..';

const SEED = 11;
const STATES = [
  'queued',
  'starting',
  'running',
  'failed',
  'succeeded',
] as const;

const taskChanges = fc
  .record({
    attempt: fc.integer({min: 0, max: 3}),
    state: fc.constantFrom(...STATES),
  })
  .map(({attempt, state}): WorkChange => ({
    type: 'task',
    shardId: 's',
    task: {taskId: 'j/0', jobKey: 'j', state, attempt},
  }));

function joinAll(changes: readonly WorkChange[]): string {
  return JSON.stringify(changes.reduce(joinChanges));
}

void t.test('changes may come in any order and twice', async t => {
  t.comment(`seed ${SEED}`);
  const lists = fc.array(taskChanges, {minLength: 1, maxLength: 12});
  const property = fc.property(
    lists,
    fc.infiniteStream(fc.nat()),
    (list, draws) => {
      const keyed = list.map(change => ({change, key: draws.next().value}));
      keyed.sort((first, second) => first.key - second.key);
      const shuffled = keyed.map(item => item.change);
      const once = joinAll(list);
      return (
        once === joinAll(shuffled) && once === joinAll([...list, ...shuffled])
      );
    },
  );
  fc.assert(property, {seed: SEED});
  t.pass();
});

void t.test('an answer that is known is never lost again', async t => {
  const open = {key: 'k', shardId: 's', workload: 'w'};
  const outcome = {outcome: 'answered', key: 'k', output: 1} as const;
  const answered: WorkChange = {type: 'request', request: {...open, outcome}};
  const known: WorkChange = {type: 'request', request: open};
  t.match(joinChanges(answered, known), answered);
  t.match(joinChanges(known, answered), answered);
});
