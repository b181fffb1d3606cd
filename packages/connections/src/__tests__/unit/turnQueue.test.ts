import t from 'tap';
import {createTurnQueue} from '../../index';

void t.test('turns that take long leave the loop to others', async t => {
  let millis = 0;
  const deferred: Array<() => void> = [];
  const turns = createTurnQueue({
    now: () => millis,
    defer: callback => deferred.push(callback),
  });
  const taken: number[] = [];
  for (let index = 0; index < 5; index++) {
    turns.add(() => {
      taken.push(index);
      millis += 3;
    });
  }
  t.equal(deferred.length, 1, 'scheduled once');
  deferred.shift()?.();
  t.strictSame(taken, [0, 1]);
  deferred.shift()?.();
  deferred.shift()?.();
  t.strictSame(taken, [0, 1, 2, 3, 4], 'in the order of arrival');
  t.equal(deferred.length, 0);
});

void t.test('a turn that adds a turn comes again after the others', async t => {
  const deferred: Array<() => void> = [];
  const turns = createTurnQueue({
    now: () => 0,
    defer: callback => deferred.push(callback),
  });
  const taken: string[] = [];
  turns.add(() => {
    taken.push('a');
    turns.add(() => taken.push('a again'));
  });
  turns.add(() => taken.push('b'));
  deferred.shift()?.();
  t.strictSame(taken, ['a', 'b', 'a again']);
});
