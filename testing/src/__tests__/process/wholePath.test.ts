import t from 'tap';
import {
  type Site,
  type SiteHost,
  callEntry,
  readHostStatus,
  startSite,
  waitFor,
} from '../..';

const PROGRAMS = 'dist';
const PATIENCE_MILLIS = 60_000;
const SLOT_CHECK = {workload: 'slot-check', member: 'till', input: {slot: 7}};

/** Starts a site of two zones with its declaration in force. */
async function startedSite(hostsInZone = 2): Promise<Site> {
  const site = await startSite({
    zones: ['tema', 'osu'],
    hostsInZone,
    workersInZone: 3,
    programs: PROGRAMS,
  });
  const hosts = site.hosts.map(host => `--host=${host.statusAddress}`);
  const applied = await site.command(
    'apply',
    site.declarationFile,
    `--log-url=${site.logUrl}`,
    ...hosts,
  );
  if (applied.status !== 0) {
    await site.stop();
    throw new Error(applied.errors);
  }
  return site;
}

/** Submits a job and waits until it has ended. */
async function runJob(site: Site, body: object): Promise<string> {
  const address = () =>
    site.hosts.find(host => host.process.exitCode === null)?.callerAddress ??
    '';
  const answer = await callEntry(address(), 'POST', '/v1/jobs', body);
  const key = (answer.body['status'] as {key: string}).key;
  let state = '';
  await waitFor(async () => {
    const path = `/v1/jobs/${encodeURIComponent(key)}`;
    const {body: found} = await callEntry(address(), 'GET', path);
    state = (found['status'] as {state?: string} | undefined)?.state ?? '';
    return state !== 'queued' && state !== 'running' && state !== '';
  }, PATIENCE_MILLIS);
  return state;
}

async function isHeld(site: Site, zone: string, but: string): Promise<boolean> {
  const others = site.hosts.filter(
    host => host.zone === zone && host.name !== but,
  );
  const pages = await Promise.all(
    others.map(host => readHostStatus(host.statusAddress)),
  );
  return pages.some(page => (page['holding'] as string[]).length > 0);
}

/** The host that holds the shard of a zone, once one does. */
async function holderOf(site: Site, zone: string): Promise<SiteHost> {
  let holder: SiteHost | undefined;
  await waitFor(async () => {
    for (const host of site.hosts.filter(item => item.zone === zone)) {
      const page = await readHostStatus(host.statusAddress);
      if ((page['holding'] as string[]).length > 0) {
        holder = host;
      }
    }
    return holder !== undefined;
  }, PATIENCE_MILLIS);
  if (holder === undefined) {
    throw new Error(`no host holds a shard of ${zone}`);
  }
  return holder;
}

void t.test('every kind of work is served by separate processes', async t => {
  const site = await startedSite();
  t.teardown(() => site.stop());
  for (const {callerAddress} of site.hosts) {
    const path = '/v1/requests';
    const answer = await callEntry(callerAddress, 'POST', path, SLOT_CHECK);
    t.equal(answer.status, 200);
    t.match(answer.body, {outcome: 'answered', output: {input: {slot: 7}}});
  }
  const bare = {workload: 'slot-check', member: 'till'};
  const [{callerAddress}] = site.hosts;
  const plain = await callEntry(callerAddress, 'POST', '/v1/requests', bare);
  t.equal(plain.status, 200, 'an input may be left out');
  const input = {runMillis: 300};
  const batch = {workload: 'reconciliation', member: 'desk', tasks: 5, input};
  t.equal(await runJob(site, batch), 'succeeded');
  const atOnce = {workload: 'route-plan', member: 'planner', tasks: 3, input};
  t.equal(await runJob(site, atOnce), 'succeeded');
});

void t.test('a request under a known key gets the first answer', async t => {
  const site = await startedSite();
  t.teardown(() => site.stop());
  const booking = {key: 'booking-1', workload: 'slot-booking', member: 'till'};
  const answers = [];
  for (const {callerAddress} of site.hosts) {
    const input = {from: callerAddress};
    const body = {...booking, input};
    answers.push(await callEntry(callerAddress, 'POST', '/v1/requests', body));
  }
  const [first] = answers;
  t.equal(first.status, 200);
  for (const answer of answers) {
    t.strictSame(answer.body, first.body);
  }
});

void t.test('a killed holder is followed and its job goes on', async t => {
  const site = await startedSite(3);
  t.teardown(() => site.stop());
  const holder = await holderOf(site, 'tema');
  const input = {runMillis: 4000};
  const body = {workload: 'reconciliation', member: 'desk', tasks: 4, input};
  const key = 'tema~long-job';
  const other = site.hosts.find(
    host => host.zone === 'tema' && host !== holder,
  );
  const address = other?.callerAddress ?? '';
  const answer = await callEntry(address, 'POST', '/v1/jobs', {...body, key});
  t.equal(answer.body['outcome'], 'accepted');
  holder.process.kill('SIGKILL');
  t.ok(await waitFor(() => isHeld(site, 'tema', holder.name), PATIENCE_MILLIS));
  let status: Record<string, unknown> | undefined;
  await waitFor(async () => {
    const path = `/v1/jobs/${encodeURIComponent(key)}`;
    const found = await callEntry(address, 'GET', path);
    status = found.body['status'] as Record<string, unknown> | undefined;
    return status?.['state'] === 'succeeded';
  }, PATIENCE_MILLIS);
  t.match(status, {state: 'succeeded', tasks: {succeeded: 4}});
});

void t.test('a paused holder is fenced, and goes on afterwards', async t => {
  const site = await startedSite(3);
  t.teardown(() => site.stop());
  const holder = await holderOf(site, 'tema');
  holder.process.kill('SIGSTOP');
  t.ok(await waitFor(() => isHeld(site, 'tema', holder.name), PATIENCE_MILLIS));
  holder.process.kill('SIGCONT');
  const input = {runMillis: 300};
  const body = {workload: 'reconciliation', member: 'desk', tasks: 3, input};
  t.equal(await runJob(site, {...body, key: 'tema~after'}), 'succeeded');
  const held = await Promise.all(
    site.hosts
      .filter(host => host.zone === 'tema')
      .map(host => readHostStatus(host.statusAddress)),
  );
  const holders = held.filter(page => (page['holding'] as []).length > 0);
  t.equal(holders.length, 1);
});

void t.test('a planned stop cuts off no request', async t => {
  const site = await startedSite();
  t.teardown(() => site.stop());
  const holder = await holderOf(site, 'tema');
  const body = {...SLOT_CHECK, input: {runMillis: 1500}};
  const open = callEntry(holder.callerAddress, 'POST', '/v1/requests', body);
  await waitFor(() => false, 300);
  holder.process.kill('SIGTERM');
  const answer = await open;
  t.equal(answer.body['outcome'], 'answered');
  t.equal(await holder.ended, 0);
  const [other] = site.hosts.filter(
    host => host.zone === 'tema' && host !== holder,
  );
  const path = '/v1/requests';
  const next = await callEntry(other.callerAddress, 'POST', path, SLOT_CHECK);
  t.equal(next.body['outcome'], 'answered');
});

void t.test('wrong input gets one line and changes nothing', async t => {
  const site = await startedSite();
  t.teardown(() => site.stop());
  const [{callerAddress}] = site.hosts;
  const wrong = [
    {workload: 7, member: 'till'},
    {workload: 'slot-check', member: 'till', more: 1},
    {workload: 'slot-check'},
  ];
  for (const body of wrong) {
    const path = '/v1/requests';
    const answer = await callEntry(callerAddress, 'POST', path, body);
    t.equal(answer.status, 400);
    t.match(answer.body, {error: 'bad-request'});
  }
  const unknown = {workload: 'no-such', member: 'till'};
  const path = '/v1/requests';
  const refused = await callEntry(callerAddress, 'POST', path, unknown);
  t.equal(refused.status, 422);
  const race = await site.command(
    'apply',
    site.declarationFile,
    `--log-url=${site.logUrl}`,
    '--expect=0',
  );
  t.equal(race.status, 3);
  t.match(race.errors, /revision 1 is in force, not 0/);
});
