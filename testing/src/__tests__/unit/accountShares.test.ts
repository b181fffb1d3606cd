import type {Job} from '@samphireramp/jobs';
import t from 'tap';
import {
  type ModelSite,
  buildAccount,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const POLICY = buildPolicy();
/** Workers of the site, with room for eight tasks each. */
const WORKERS = 2;
const TASK_MILLIS = 1000;
/** Jobs a second that each usual account sends, as it is entitled to. */
const USUAL_RATE = 2;
/** The weight of the account that sends too much, in jobs a second. */
const FLOOD_WEIGHT = 0.4;
/** Jobs that it sends at once: 1,000 times what it may in a second. */
const FLOOD = 1000 * FLOOD_WEIGHT;
const USUAL_JOBS = 16;
const USUAL_ACCOUNTS = ['b', 'c'];

interface FloodedSite {
  readonly site: ModelSite;
  readonly flood: readonly Job[];
  readonly usual: readonly Job[];
}

/**
 * Has one account fill a site and send 1,000 times its rate, and others the usual
 * rate afterwards; `clockOffsetMillis` steps the clock of the host that takes the flood.
 */
async function floodSite(clockOffsetMillis = 0): Promise<FloodedSite> {
  const site = buildModelSite({
    hosts: 3,
    workers: WORKERS,
    policies: [POLICY],
    accounts: [
      buildAccount('a', {}, FLOOD_WEIGHT),
      ...USUAL_ACCOUNTS.map(name => buildAccount(name, {}, USUAL_RATE)),
    ],
  });
  await site.run(1500);
  let count = 0;
  const submit = (account: string, offsetMillis: number) => {
    const step = buildStep({estimateMillis: TASK_MILLIS});
    const job = buildJob(
      `${account}${String(count++).padStart(15, '0')}`,
      [step],
      {policy: POLICY, account, receivedAt: site.clock.now + offsetMillis},
    );
    void site.submit(site.hosts[count % 3], job);
    return job;
  };
  const flood = Array.from({length: FLOOD}, () =>
    submit('a', clockOffsetMillis),
  );
  await site.run(1000);
  const usual: Job[] = [];
  for (let index = 0; index < USUAL_JOBS; index++) {
    usual.push(...USUAL_ACCOUNTS.map(account => submit(account, 0)));
    await site.run(1000 / USUAL_RATE);
  }
  return {site, flood, usual};
}

function countCompleted(site: ModelSite, jobs: readonly Job[]): number {
  const host = site.hosts.find(({isUp}) => isUp) ?? site.hosts[0];
  return jobs.filter(({id}) => site.readJobState(host, id) === 'completed')
    .length;
}

// Guards against a flood that is served at the cost of others, and against capacity
// that is left idle although the flood could use it.
void t.test(
  'an account with 1,000 times its rate takes only what is left',
  async t => {
    const {site, flood, usual} = await floodSite();
    // A usual job waits for a worker at most, beside the burst of the flood.
    await site.run(2 * TASK_MILLIS);
    t.equal(countCompleted(site, usual), usual.length);
    const most = (site.clock.now / TASK_MILLIS) * WORKERS * 7;
    const floodDone = countCompleted(site, flood);
    t.ok(floodDone + usual.length > most * 0.6, `${floodDone} of the flood`);
    t.same(site.checker.violations, []);
  },
);

// Guards against an order that a new holder, or an earlier time of receipt, resets.
void t.test(
  'the order holds for the next holder and with a stepped clock',
  async t => {
    const {site, usual} = await floodSite(-500);
    const holder = site.holder();
    if (holder !== undefined) {
      site.kill(holder);
    }
    await site.run(8 * TASK_MILLIS);
    t.equal(countCompleted(site, usual), usual.length);
    t.same(site.checker.violations, []);
  },
);
