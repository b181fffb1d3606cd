import t from 'tap';
import {HOLDING_EVENT, HOLDING_TICK, JOURNAL_APPEND_ENDED} from '../../index';
import {buildHost} from '../buildHost';

void t.test(
  'a batch without an answer is logged once, with what waits for it',
  async t => {
    const {clock, kernel, readEmptyJournal, claimAt} = buildHost();
    const events: {event: string; silentMillis?: number}[] = [];
    kernel.registerEffect(HOLDING_EVENT, event => events.push(event));
    readEmptyJournal();
    claimAt(1000);
    const tickAt = (now: number) => {
      clock.now = now;
      kernel.dispatch(HOLDING_TICK, undefined);
    };
    tickAt(1200);
    tickAt(1600);
    t.notMatch(events, [{event: 'journal-late'}]);
    tickAt(1700);
    tickAt(1800);
    const late = events.filter(({event}) => event === 'journal-late');
    t.match(late, [
      {detail: '1 entries, 0 commands wait', silentMillis: 500, term: 1},
    ]);
    t.equal(late.length, 1);
    clock.now = 2000;
    const outcome = {kind: 'appended', offset: 1, endOffset: 2} as const;
    kernel.dispatch(JOURNAL_APPEND_ENDED, {append: 1, outcome});
    t.match(events.at(-1), {event: 'journal-answered', silentMillis: 800});
  },
);
