import {jobStatus} from '@samphireramp/intake';
import {newProgress} from '@samphireramp/jobs';
import {encodeJournalEntry, encodeRequest} from '@samphireramp/record-codec';
import t from 'tap';
import {type ModelSite, buildJob, buildModelSite, buildStep} from '../../index';

const VISIBLE_MILLIS = 3000;
/** Run time of the task of each job. */
const TASK_MILLIS = 3000;
/** Time for a new holder to take over and to publish what it knows. */
const TAKE_OVER_MILLIS = 4000;

function buildAccountJob(id: string, account: string, receivedAt: number) {
  const steps = [buildStep({estimateMillis: TASK_MILLIS})];
  return buildJob(id.padStart(16, '0'), steps, {account, receivedAt});
}

/** Writes a cancel into the log that no host would let through. */
function writeCancel(site: ModelSite, jobId: string, account?: string): void {
  const receivedAt = site.clock.now;
  const cancel = {kind: 'cancel', jobId, receivedAt, account} as const;
  const {key, value} = encodeRequest(cancel);
  site.log.put('requests', key, value);
}

/** What each host that is up answers a caller about a job. */
function statusesOf(site: ModelSite, jobId: string, account?: string) {
  const statuses = site.hosts
    .filter(({isUp}) => isUp)
    .map(({kernel}) =>
      jobStatus(kernel, jobId, site.clock.now, VISIBLE_MILLIS, account),
    );
  return [...new Set(statuses)];
}

function killHolder(site: ModelSite): void {
  const holder = site.holder();
  if (holder !== undefined) {
    site.kill(holder);
  }
}

void t.test('a job is hidden from other accounts, also later', async t => {
  const site = buildModelSite({hosts: 3});
  await site.run(2000);
  const job = buildAccountJob('a1', 'first', site.clock.now);
  const open = buildAccountJob('a2', '', site.clock.now);
  void site.submit(site.hosts[0], job);
  void site.submit(site.hosts[0], open);
  await site.run(1000);
  const check = (state: string, description: string) => {
    t.same(statusesOf(site, job.id, 'first'), [state], description);
    t.same(statusesOf(site, job.id, 'second'), ['absent'], description);
    t.same(statusesOf(site, job.id, ''), ['absent'], description);
    t.same(statusesOf(site, job.id), [state], 'a site without accounts');
    t.same(statusesOf(site, open.id, 'second'), [state], 'of no account');
  };
  check('running', 'as the first holder tells');
  killHolder(site);
  await site.run(TAKE_OVER_MILLIS);
  check('completed', 'as the next holder tells');
  t.same(site.checker.violations, []);
  t.same(site.errors, []);
});

void t.test('the holder ignores cancels of other accounts', async t => {
  const site = buildModelSite({hosts: 3});
  await site.run(2000);
  const [running, cancelled, queued] = ['b1', 'b2', 'b3'].map(id =>
    buildAccountJob(id, 'first', site.clock.now),
  );
  // A cancel may be read before its job.
  writeCancel(site, queued.id, 'second');
  writeCancel(site, queued.id, '');
  await site.run(100);
  [running, cancelled, queued].forEach(job => {
    void site.submit(site.hosts[0], job);
  });
  await site.run(1000);
  writeCancel(site, running.id, 'second');
  writeCancel(site, cancelled.id, 'second');
  // The owner's cancel counts although another one was read before.
  site.checker.registerJob(cancelled).isCancelRequested = true;
  writeCancel(site, cancelled.id, 'first');
  await site.run(500);
  t.same(statusesOf(site, running.id, 'first'), ['running']);
  t.same(statusesOf(site, queued.id, 'first'), ['running']);
  t.same(statusesOf(site, cancelled.id, 'first'), ['cancelled']);
  t.ok(site.events.some(line => line.includes('"cancel-ignored"')));
  // A new holder reads the same cancels before the jobs.
  killHolder(site);
  await site.run(TAKE_OVER_MILLIS + TASK_MILLIS);
  t.same(statusesOf(site, running.id, 'first'), ['completed']);
  t.same(statusesOf(site, queued.id, 'first'), ['completed']);
  t.same(statusesOf(site, cancelled.id, 'first'), ['cancelled']);
  t.same(site.checker.violations, []);
  t.same(site.errors, []);
});

void t.test('a job id of another account can not be taken', async t => {
  const site = buildModelSite();
  await site.run(2000);
  const job = buildAccountJob('c1', 'first', site.clock.now);
  t.match(await settle(site, site.submit(site.hosts[0], job)), 'accepted');
  await site.run(1000);
  for (const host of site.hosts) {
    for (const account of ['second', '']) {
      const taken = {...job, account};
      const answer = await settle(site, site.submit(host, taken));
      t.equal(answer, 'id-in-use', `${host.name}, account '${account}'`);
    }
    t.equal(await settle(site, site.submit(host, job)), 'accepted');
  }
});

void t.test('a holder of an earlier build recorded no account', async t => {
  const site = buildModelSite();
  const job = buildAccountJob('d1', 'first', 0);
  site.checker.registerJob(job);
  const progress = {...newProgress(job), account: ''};
  const entry = encodeJournalEntry({kind: 'progress', progress});
  const request = encodeRequest({kind: 'submit', job});
  site.log.put('progress', entry.key, entry.value);
  site.log.put('requests', request.key, request.value);
  await site.run(6000);
  t.same(statusesOf(site, job.id, 'first'), ['completed']);
  t.same(statusesOf(site, job.id, 'second'), ['absent']);
});

/** Advances the site until a call has its answer. */
async function settle(
  site: ModelSite,
  answer: ReturnType<ModelSite['submit']>,
): Promise<string | undefined> {
  await site.run(200);
  return (await answer)?.kind;
}
