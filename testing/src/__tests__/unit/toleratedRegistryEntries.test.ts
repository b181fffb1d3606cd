import t from 'tap';
import {buildModelSite, encodeRegistryEntry} from '../../index';
import {
  LATER_START,
  LATE_OWN_ENTRY_MILLIS,
  NO_START,
  OTHER_SERVICE,
  OWN_ENTRY_MILLIS,
  POLICY,
  buildBusySite,
  changeEntry,
  checkEachRanOnce,
  endHolder,
  startTasks,
  writeForeignEntry,
  writeOwnEntryLater,
} from './foreignEntryFixture';

void t.test(
  `no task starts again after a foreign entry ${NO_START.name}`,
  async t => {
    const [site, worker] = await buildBusySite(t);
    writeForeignEntry(site, worker, NO_START);
    writeOwnEntryLater(site, worker, OWN_ENTRY_MILLIS);
    await checkEachRanOnce(t, site);
  },
);

for (const entry of [LATER_START, OTHER_SERVICE, NO_START]) {
  void t.test(
    `no task starts again as a holder takes over with a foreign entry ${entry.name}`,
    async t => {
      const [site, worker] = await buildBusySite(t);
      writeForeignEntry(site, worker, entry);
      endHolder(site);
      writeOwnEntryLater(site, worker, LATE_OWN_ENTRY_MILLIS);
      await checkEachRanOnce(t, site);
    },
  );
}

for (const changesHolder of [false, true]) {
  const suffix = changesHolder ? ' as a holder takes over' : '';
  void t.test(
    `no task starts again after a late entry of the earlier life${suffix}`,
    async t => {
      const site = buildModelSite({workers: 2, policies: [POLICY]});
      await site.run(1000);
      const [worker] = site.workers;
      const earlierEntry = encodeRegistryEntry(changeEntry(worker, {}));
      worker.restart();
      site.writeRegistryEntry(worker);
      await site.run(500);
      await startTasks(t, site);
      site.writeRegistryRecord(worker.id, earlierEntry);
      writeOwnEntryLater(site, worker, LATE_OWN_ENTRY_MILLIS);
      if (changesHolder) {
        endHolder(site);
      }
      await checkEachRanOnce(t, site);
    },
  );
}
