/** Review of issue 30: a foreign address that is read while the first poll is open. */
import {WORKERS} from '@samphireramp/fleet';
import t from 'tap';
import type {ModelSite, ModelWorker} from '../../index';
import {
  OTHER_ADDRESS,
  buildBusySite,
  checkEachRanOnce,
  endHolder,
  writeForeignEntry,
  writeOwnEntryLater,
} from './foreignEntryFixture';

/** Has a worker answer each poll that much later than it carries it out. */
function delayAnswers(site: ModelSite, worker: ModelWorker, millis: number) {
  const poll = worker.poll.bind(worker);
  worker.poll = async (...call) => {
    const report = await poll(...call);
    await new Promise<void>(resolve => site.clock.after(millis, resolve));
    return report;
  };
}

for (const millis of [0, 300]) {
  void t.test(
    `a foreign address read while the first poll of a new holder is open (answers ${millis} ms late)`,
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
      const from = site.events.length;
      await checkEachRanOnce(t, site);
      t.comment(
        site.events
          .slice(from)
          .filter(line => /worker-0|00d0/.test(line))
          .slice(0, 30)
          .join('\n'),
      );
    },
  );
}
