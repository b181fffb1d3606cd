import t from 'tap';
import {encodeRegistryEntry} from '../../index';
import {
  LATER_START,
  LATE_OWN_ENTRY_MILLIS,
  OTHER_ADDRESS,
  OTHER_SERVICE,
  OWN_ENTRY_MILLIS,
  buildBusySite,
  changeEntry,
  checkEachRanOnce,
  endHolder,
  writeForeignEntry,
  writeOwnEntryLater,
} from './foreignEntryFixture';

/** Interval of the entries of a writer that goes on. */
const REPEAT_MILLIS = 100;
const REPEATED_ENTRIES = 150;

for (const entry of [LATER_START, OTHER_SERVICE, OTHER_ADDRESS]) {
  void t.test(
    `no task starts again after a foreign entry ${entry.name}`,
    async t => {
      const [site, worker] = await buildBusySite(t);
      writeForeignEntry(site, worker, entry);
      writeOwnEntryLater(site, worker, OWN_ENTRY_MILLIS);
      await checkEachRanOnce(t, site);
    },
  );
}

void t.test(
  'no worker that only an entry names is said to have crashed',
  async t => {
    const [site, worker] = await buildBusySite(t);
    const content = encodeRegistryEntry(OTHER_SERVICE.build(site, worker));
    site.writeRegistryRecord('worker-of-an-entry', content);
    await checkEachRanOnce(t, site);
    t.same(
      site.events.filter(line => line.includes('worker-crashed')),
      [],
    );
  },
);

void t.test(
  `no task starts again as a holder takes over with a foreign entry ${OTHER_ADDRESS.name}`,
  async t => {
    const [site, worker] = await buildBusySite(t);
    writeForeignEntry(site, worker, OTHER_ADDRESS);
    endHolder(site);
    writeOwnEntryLater(site, worker, LATE_OWN_ENTRY_MILLIS);
    await checkEachRanOnce(t, site);
  },
);

void t.test(
  'no task starts again while foreign entries of ever later starts are written',
  async t => {
    const [site, worker] = await buildBusySite(t);
    for (let count = 1; count <= REPEATED_ENTRIES; count++) {
      site.clock.after(count * REPEAT_MILLIS, () =>
        writeForeignEntry(site, worker, {
          name: LATER_START.name,
          build: () => changeEntry(worker, {born: worker.born + count}),
        }),
      );
    }
    // The worker goes on writing its own entry.
    const lastMillis = REPEATED_ENTRIES * REPEAT_MILLIS + OWN_ENTRY_MILLIS;
    for (
      let millis = OWN_ENTRY_MILLIS;
      millis <= lastMillis;
      millis += OWN_ENTRY_MILLIS
    ) {
      writeOwnEntryLater(site, worker, millis);
    }
    await checkEachRanOnce(t, site);
  },
);
