import t from 'tap';
import {
  buildBusySite,
  checkRunAgain,
  checkStarts,
  endHolder,
  restartWithEarlierStart,
} from './steppedClockFixture';

/** By when the tasks of an ended life run again. */
const RUN_AGAIN_MILLIS = 2000;

void t.test(
  'the tasks of a worker that restarts with an earlier start run again soon',
  async t => {
    const site = await buildBusySite(t);
    restartWithEarlierStart(site);
    await checkRunAgain(t, site, RUN_AGAIN_MILLIS);
    await checkStarts(t, site);
  },
);

void t.test(
  'no task runs twice as a worker restarts with an earlier start while a holder takes over',
  async t => {
    const site = await buildBusySite(t);
    restartWithEarlierStart(site);
    endHolder(site);
    await site.run(RUN_AGAIN_MILLIS);
    await checkStarts(t, site);
  },
);
