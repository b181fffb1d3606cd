import t from 'tap';
import {
  awaitFirstReport,
  buildBusySite,
  checkStartsAgain,
  connectFirstWorker,
} from './earlierLeaseFixture';

void t.test(
  'a lease of an earlier holder outlasts the only report to its successor',
  async t => {
    const [site, earlier, successor] = await buildBusySite(t);
    site.kill(earlier);
    connectFirstWorker(site, []);
    await site.run(1500);
    t.equal(site.holder(), successor);
    connectFirstWorker(site, [successor]);
    await awaitFirstReport(site, successor);
    connectFirstWorker(site, []);
    await checkStartsAgain(t, site);
  },
);
