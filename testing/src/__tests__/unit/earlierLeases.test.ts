import {heldTerm} from '@samphireramp/holding';
import t from 'tap';
import {
  awaitFirstReport,
  buildBusySite,
  checkStartsAgain,
  connectFirstWorker,
  cutOffFromOthers,
  silenceLog,
} from './earlierLeaseFixture';

void t.test(
  'a lease of an earlier holder outlasts the only report to a successor that grants none',
  async t => {
    const [site, earlier, successor] = await buildBusySite(t);
    connectFirstWorker(site, [earlier]);
    cutOffFromOthers(site, earlier);
    silenceLog(site, [earlier]);
    await site.run(1500);
    t.ok(heldTerm(successor.kernel));
    silenceLog(site, site.hosts);
    await site.run(4500);
    connectFirstWorker(site, [successor]);
    await awaitFirstReport(site, successor);
    connectFirstWorker(site, []);
    silenceLog(site, [earlier]);
    await checkStartsAgain(t, site);
  },
);
