import {WORKERS} from '@samphireramp/fleet';
import {heldTerm} from '@samphireramp/holding';
import t from 'tap';
import {
  type ModelHost,
  type ModelSite,
  buildModelSite,
  buildPolicy,
} from '../../index';
import {awaitFirstReport, silenceLog} from './earlierLeaseFixture';
import {
  TICKET_POLICY,
  restartBetweenOrders,
  submitTicketTask,
} from './restartedWorkerFixture';

const LONG_JOB_ID = '00000000000000f8';

function holderOf(site: ModelSite): ModelHost {
  return site.holder() ?? site.hosts[0];
}

/** Runs the site until a host has a newer reading of the first worker's clock. */
async function awaitNextReading(
  site: ModelSite,
  {kernel}: ModelHost,
): Promise<void> {
  const {incarnation} = site.workers[0];
  const readAt = () => kernel.read(WORKERS).get(incarnation)?.clock?.receivedAt;
  const first = readAt();
  while (readAt() === first) {
    await site.run(1);
  }
}

for (const pollAnswerMillis of [2, 400, 650]) {
  void t.test(
    `no task runs twice after a first answer to the next holder of ${pollAnswerMillis} ms`,
    async t => {
      const site = buildModelSite({
        workers: 2,
        policies: [TICKET_POLICY],
        random: () => 0,
      });
      const [worker] = site.workers;
      await site.run(30_000);
      await restartBetweenOrders(site, worker, 0);
      await awaitFirstReport(site, holderOf(site));
      submitTicketTask(site, worker, LONG_JOB_ID, 20_000);
      while (worker.countRuns() === 0) {
        await site.run(1);
      }
      site.kill(holderOf(site));
      while (site.holder() === undefined) {
        await site.run(1);
      }
      const {faultState} = site;
      site.faultState = {
        ...faultState,
        pollAnswerMillis: () => pollAnswerMillis,
      };
      await awaitFirstReport(site, holderOf(site));
      site.faultState = faultState;
      await awaitNextReading(site, holderOf(site));
      site.faultState = {...faultState, canCall: (_, id) => id !== worker.id};
      await site.run(11_000);
      t.same(site.checker.violations, []);
      t.equal(site.checker.countStarts(LONG_JOB_ID), 2);
    },
  );
}

void t.test(
  'an earlier holder that polls two lives of a worker ends its holding',
  async t => {
    const site = buildModelSite({workers: 1, policies: [buildPolicy()]});
    const [worker] = site.workers;
    await site.run(5000);
    const earlier = holderOf(site);
    worker.isUp = false;
    await site.run(1000);
    worker.restart(worker.born + 1, 0);
    site.writeRegistryEntry(worker);
    await site.run(400);
    t.equal(earlier.kernel.read(WORKERS).size, 2);
    silenceLog(site, [earlier]);
    site.faultState = {
      ...site.faultState,
      canCall: host => host !== earlier.name,
    };
    worker.isUp = true;
    await site.run(3000);
    site.faultState = {
      ...site.faultState,
      canCall: () => true,
      pollAnswerMillis: () => 200,
    };
    await site.run(3000);
    t.equal(heldTerm(earlier.kernel), undefined);
  },
);
