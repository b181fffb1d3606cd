import {WORKERS} from '@samphireramp/fleet';
import t from 'tap';
import {
  OTHER_ADDRESS,
  buildBusySite,
  checkEachRanOnce,
  delayAnswers,
  endHolder,
  writeForeignEntry,
  writeOwnEntryLater,
} from './foreignEntryFixture';

for (const millis of [0, 300]) {
  void t.test(
    `no task starts again after a foreign address read while the first poll is open, answered ${millis} ms late`,
    async t => {
      const [site, worker] = await buildBusySite(t);
      if (millis > 0) {
        delayAnswers(site, worker, millis);
      }
      endHolder(site);
      for (;;) {
        await site.run(1);
        const known = site
          .holder()
          ?.kernel.read(WORKERS)
          .get(worker.incarnation);
        if (known?.isPollOpen) {
          t.notOk(known.hasReported);
          break;
        }
      }
      writeForeignEntry(site, worker, OTHER_ADDRESS);
      writeOwnEntryLater(site, worker, 1500);
      await checkEachRanOnce(t, site);
    },
  );
}
