import t from 'tap';
import {
  buildBusySite,
  checkRunAgain,
  checkStarts,
  endHolder,
  restartWithEarlierStart,
  writeLateEntry,
} from './steppedClockFixture';

/** By when the tasks of an ended life run again. */
const RUN_AGAIN_MILLIS = 2000;

void t.test(
  'no task runs twice as a late entry comes from a life with a later start',
  async t => {
    const site = await buildBusySite(t);
    const earlierEntry = restartWithEarlierStart(site);
    writeLateEntry(site, site.workers[0], earlierEntry);
    await checkRunAgain(t, site, RUN_AGAIN_MILLIS);
    await checkStarts(t, site);
  },
);

void t.test(
  'no task runs twice as a holder takes over beside a late entry of a life with a later start',
  async t => {
    const site = await buildBusySite(t);
    const earlierEntry = restartWithEarlierStart(site);
    endHolder(site);
    writeLateEntry(site, site.workers[0], earlierEntry);
    await site.run(RUN_AGAIN_MILLIS);
    await checkStarts(t, site);
  },
);
