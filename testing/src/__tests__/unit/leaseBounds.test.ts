import t, {type Test} from 'tap';
import {type ModelHost, type ModelSite} from '../../index';
import {buildLastingSite} from './lastingSiteFixture';

/** Silence after which the leases of a worker are surely bounded. */
const BOUNDED_MILLIS = 3500;

function holderOf(site: ModelSite): ModelHost {
  const holder = site.holder();
  if (holder === undefined) {
    throw new Error('no host holds the site');
  }
  return holder;
}

/** Lets only the hosts named reach worker-0. */
function reachableFrom(site: ModelSite, hosts: readonly string[]): void {
  site.faultState = {
    ...site.faultState,
    canCall: (host, worker) => worker !== 'worker-0' || hosts.includes(host),
  };
}

/** Kills the holder, restarts its process, and returns the next holder. */
async function replaceHolder(site: ModelSite): Promise<ModelHost> {
  const holder = holderOf(site);
  site.kill(holder);
  site.clock.after(500, () => site.restart(holder));
  await site.run(1200);
  return holderOf(site);
}

function hasEvent(site: ModelSite, event: string): boolean {
  return site.events.some(line => line.includes(`"event":"${event}"`));
}

/** Checks that nothing ran twice, and that all tasks run in the end. */
async function settle(t: Test, site: ModelSite): Promise<void> {
  await site.run(16_000);
  t.same(site.checker.violations, []);
  t.same(site.errors, []);
  const runs = site.workers.reduce((sum, each) => sum + each.countRuns(), 0);
  t.equal(runs, 3);
}

void t.test(
  'a worker that comes back between two holders keeps its run',
  async t => {
    const {site, job} = await buildLastingSite('00000000000000d1');
    reachableFrom(site, []);
    await site.run(BOUNDED_MILLIS);
    t.ok(hasEvent(site, 'leases-bounded'));
    const holder = holderOf(site);
    site.kill(holder);
    reachableFrom(site, ['host-0', 'host-1', 'host-2']);
    await site.run(500);
    site.restart(holder);
    await settle(t, site);
    t.ok(hasEvent(site, 'lease-bound-lifted'));
    t.equal(site.checker.countStarts(job.id), 3);
  },
);

void t.test(
  'a worker that one holder reaches and the next one does not runs nothing twice',
  async t => {
    const {site} = await buildLastingSite('00000000000000d1');
    reachableFrom(site, []);
    await site.run(BOUNDED_MILLIS);
    const first = holderOf(site);
    const others = site.hosts.filter(host => host !== first);
    reachableFrom(
      site,
      others.map(({name}) => name),
    );
    await replaceHolder(site);
    // The bound of the first holder has passed by then.
    await site.run(9000);
    t.ok(hasEvent(site, 'lease-bound-lifted'));
    reachableFrom(site, []);
    await replaceHolder(site);
    await settle(t, site);
  },
);

void t.test(
  'a bound whose deletion is not durable keeps the worker without a lease',
  async t => {
    const {site} = await buildLastingSite('00000000000000d1');
    reachableFrom(site, []);
    await site.run(BOUNDED_MILLIS);
    const first = holderOf(site);
    // Appends of the first holder are lost from here on; it reaches the worker.
    site.faultState = {
      ...site.faultState,
      logAvailability: host => (host === first.name ? 'silent' : 'answers'),
    };
    reachableFrom(site, [first.name]);
    await settle(t, site);
  },
);

void t.test('a bound that is written late or twice is safe', async t => {
  for (const appendDelayMillis of [0, 300, 900, 2500]) {
    const {site} = await buildLastingSite('00000000000000d1');
    reachableFrom(site, []);
    await site.run(1500);
    let appends = 0;
    site.faultState = {
      ...site.faultState,
      losesAppendAnswer: () => ++appends % 2 === 0,
      appendDelayMillis: () => (appends % 3 === 0 ? appendDelayMillis : 0),
    };
    await site.run(2000);
    reachableFrom(site, ['host-0', 'host-1', 'host-2']);
    await site.run(400);
    const holder = site.holder();
    reachableFrom(site, []);
    if (holder !== undefined) {
      site.kill(holder);
      site.clock.after(500, () => site.restart(holder));
    }
    await site.run(3000);
    site.faultState = {
      ...site.faultState,
      losesAppendAnswer: () => false,
      appendDelayMillis: () => 0,
    };
    await settle(t, site);
  }
});

void t.test(
  'the leases of a holder that is cut off have expired for the next one',
  async t => {
    for (const cutMillis of [800, 2000, 3200, 3900, 5000]) {
      const {site} = await buildLastingSite('00000000000000d1');
      const {faultState} = site;
      const first = holderOf(site);
      site.faultState = {
        ...faultState,
        logAvailability: host => (host === first.name ? 'silent' : 'answers'),
        canCall: (host, worker) =>
          (host === first.name) === (worker === 'worker-0'),
      };
      await site.run(cutMillis);
      site.faultState = {
        ...faultState,
        canCall: (_, worker) => worker !== 'worker-0',
      };
      await settle(t, site);
    }
  },
);
