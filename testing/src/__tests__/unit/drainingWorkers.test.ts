import t from 'tap';
import {buildBusySite, checkEachRanOnce} from './foreignEntryFixture';

for (const isDraining of [true, false]) {
  void t.test(
    `a refused connection of an unlisted worker that ${isDraining ? 'drains' : 'stays'} is not its end`,
    async t => {
      const [site, worker] = await buildBusySite(t);
      site.writeRegistryEntry(worker, isDraining);
      await site.run(500);
      // Its entry lapses, as it doesn't reach the store.
      site.deleteRegistryEntry(worker);
      await site.run(200);
      const before = site.faultState;
      site.faultState = {
        ...before,
        refusesConnections: id => id === worker.id,
      };
      await site.run(1500);
      site.faultState = before;
      site.writeRegistryEntry(worker, isDraining);
      await checkEachRanOnce(t, site);
    },
  );
}
