import t from 'tap';
import type {StreamName} from '@samphireramp/stream-log';
import {PROMPT_READS} from '../../site/ModelLog';
import {type ModelSite, buildJob, buildModelSite, buildStep} from '../../index';

/** Runs a site until its holder may use the reserve journal, and kills the holder. */
async function buildSiteWithoutHolder(
  prepare: (site: ModelSite) => void,
): Promise<ModelSite> {
  const site = buildModelSite({workers: 4, hosts: 4});
  await site.run(1500);
  prepare(site);
  killHosts(site, [site.holder()?.name]);
  return site;
}

/** Kills the hosts of these names. */
function killHosts(
  site: ModelSite,
  names: ReadonlyArray<string | undefined>,
): void {
  for (const host of site.hosts) {
    if (names.includes(host.name)) {
      site.kill(host);
    }
  }
}

/** The hosts that began to fence the reserve journal, in this order. */
function listFencingHosts(site: ModelSite): string[] {
  return site.events
    .map(line => JSON.parse(line) as {event: string; host: string})
    .filter(({event}) => event === 'fencing-began')
    .map(({host}) => host);
}

void t.test(
  'a take-over ends though the reserve journal takes appends more slowly than hosts wait for a holder',
  async t => {
    const site = await buildSiteWithoutHolder(({log}) => {
      log.otherAppendMillis = stream => (stream === 'reserve' ? 2500 : 4);
    });
    await site.run(5000);
    t.ok(site.holder());
    t.equal(listFencingHosts(site).length, 1);
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'hosts do not replace each other while the reserve journal is out of reach',
  async t => {
    const site = await buildSiteWithoutHolder(({log}) => {
      log.isStreamDown = stream => stream === 'reserve';
    });
    await site.run(2800);
    t.equal(listFencingHosts(site).length, 1);
    site.log.isStreamDown = () => false;
    await site.run(300);
    t.ok(site.holder());
    t.same(site.checker.violations, []);
  },
);

void t.test('a host that is killed while it fences is replaced', async t => {
  const site = await buildSiteWithoutHolder(({log}) => {
    log.isStreamDown = stream => stream === 'reserve';
  });
  await site.run(1500);
  const [first] = listFencingHosts(site);
  killHosts(site, [first]);
  site.log.isStreamDown = () => false;
  await site.run(1200);
  t.ok(site.holder());
  t.not(site.holder()?.name, first);
});

void t.test(
  'a host that alone does not reach the reserve journal gives way',
  async t => {
    const site = await buildSiteWithoutHolder(current => {
      const isUnreadable = (host: string, stream: StreamName) =>
        stream === 'reserve' && host === listFencingHosts(current)[0];
      current.log.isStreamDown = stream =>
        stream === 'reserve' && listFencingHosts(current).length === 0;
      current.log.readBehaviour = (host, stream) => ({
        ...PROMPT_READS,
        isAvailable: !isUnreadable(host, stream),
      });
    });
    await site.run(6000);
    const hosts = listFencingHosts(site);
    t.equal(hosts.length, 2);
    t.equal(site.holder()?.name, hosts[1]);
    t.same(site.checker.violations, []);
  },
);

void t.test(
  'what the reserve journal alone has survives a host that is killed while it fences',
  async t => {
    const site = buildModelSite({workers: 4, hosts: 4});
    await site.run(1500);
    site.log.isStreamDown = stream => stream === 'progress';
    await site.run(1000);
    const job = buildJob('00000000000000f5', [buildStep({count: 5})], {
      receivedAt: site.clock.now,
    });
    void site.submit(site.hosts[0], job);
    await site.run(3000);
    t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
    site.log.isStreamDown = stream => stream === 'reserve';
    killHosts(site, [site.holder()?.name]);
    await site.run(1500);
    killHosts(site, listFencingHosts(site));
    site.log.isStreamDown = () => false;
    await site.run(4000);
    t.ok(site.holder());
    t.equal(site.checker.countStarts(job.id), 5);
    t.same(site.checker.violations, []);
  },
);
