import t from 'tap';
import {jobIdOf} from '../../index';
import {buildHost} from '../buildHost';

/** Longer than requests wait to share a batch. */
const GATHER_MILLIS = 5;
/** Longer than a partition without an answer is avoided. */
const AVOIDANCE_MILLIS = 2100;

void t.test(
  'a request that is refused after a wait was never sent to the log',
  async t => {
    const {appends, answers, pass, receive, answer} = buildHost();
    receive('a');
    pass(100);
    receive('b');
    pass(2000);
    t.equal(answers.get('b'), 'refused');
    answer(0, 'appended');
    pass(100);
    t.equal(answers.get('a'), 'accepted');
    const sent = appends.flatMap(({requests}) => requests);
    t.same(new Set(sent.map(jobIdOf)), new Set(['a']));
  },
);

void t.test(
  'requests that arrive while a batch is late share the next one',
  async t => {
    const {appends, answers, pass, receive, answer} = buildHost();
    receive('a');
    pass(100);
    receive('b');
    pass(50);
    receive('c');
    pass(50);
    t.equal(appends.length, 1);
    answer(0, 'appended');
    t.equal(appends.length, 2);
    t.equal(appends[1].requests.length, 2);
    answer(1, 'appended');
    t.same([...answers.values()], ['accepted', 'accepted', 'accepted']);
  },
);

void t.test(
  'a batch goes to another partition, and the next one avoids the silent one',
  async t => {
    const {appends, answers, pass, receive, answer} = buildHost();
    receive('a');
    pass(GATHER_MILLIS + 260);
    t.equal(appends.length, 2);
    t.not(appends[1].partition, appends[0].partition);
    answer(1, 'appended');
    t.equal(answers.get('a'), 'accepted');
    receive('a');
    pass(GATHER_MILLIS);
    t.not(appends[2].partition, appends[0].partition);
    answer(2, 'appended');
    pass(AVOIDANCE_MILLIS);
    receive('a');
    pass(GATHER_MILLIS);
    t.equal(appends[3].partition, appends[0].partition, 'it is tried again');
  },
);

void t.test('a slow log gets no copies of a batch', async t => {
  const {appends, pass, receive, answer} = buildHost();
  receive('a');
  pass(900);
  answer(0, 'appended');
  const before = appends.length;
  receive('b');
  pass(1200);
  t.equal(appends.length, before + 1);
});

void t.test(
  'a batch is refused only if every partition has refused it',
  async t => {
    const {appends, answers, pass, receive, answer} = buildHost();
    receive('a');
    pass(GATHER_MILLIS);
    for (let attempt = 0; attempt < 4; attempt++) {
      answer(attempt, 'refused');
    }
    t.equal(new Set(appends.map(({partition}) => partition)).size, 4);
    t.equal(answers.get('a'), 'refused');
    receive('b');
    pass(GATHER_MILLIS);
    answer(4, 'unknown');
    for (let attempt = 5; attempt < 8; attempt++) {
      answer(attempt, 'refused');
    }
    t.equal(answers.get('b'), 'unknown');
  },
);
