import t from 'tap';
import {
  type ModelHost,
  type ModelSite,
  PROMPT_READS,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
  readAnswers,
} from '../../index';

const POLICY = buildPolicy({name: 'queue'});
/** Long enough for hosts to take their copies of the journal for complete. */
const WARM_UP_MILLIS = 8000;
/** Time between two calls of a caller. */
const ASK_INTERVAL_MILLIS = 50;

/** Submits jobs to a host and waits until all are accepted. */
async function submitJobs(
  site: ModelSite,
  host: ModelHost,
  count: number,
): Promise<string[]> {
  const jobs = Array.from({length: count}, (_, index) =>
    buildJob(`d${index}`.padStart(16, '0'), [buildStep()], {
      policy: POLICY,
      receivedAt: site.clock.now,
    }),
  );
  const answers = jobs.map(job => site.submit(host, job));
  await site.run(100);
  for (const answer of await Promise.all(answers)) {
    if (answer?.kind !== 'accepted') {
      throw new Error(`a submit was answered with ${answer?.kind}`);
    }
  }
  return jobs.map(({id}) => id);
}

/** Asks hosts for jobs and counts again and again; the checker judges. */
async function askFor(
  site: ModelSite,
  hosts: readonly ModelHost[],
  jobIds: readonly string[],
  millis: number,
): Promise<void> {
  const end = site.clock.now + millis;
  while (site.clock.now < end) {
    for (const host of hosts) {
      jobIds.forEach(id => readAnswers(site, host, id, POLICY.name));
    }
    await site.run(ASK_INTERVAL_MILLIS);
  }
}

function followersOf(site: ModelSite): ModelHost[] {
  const holder = site.holder();
  return site.hosts.filter(host => host.isUp && host !== holder);
}

/** A follower reads what it missed in pages, while jobs are accepted. */
async function readBacklogInPages(workers: number) {
  const site = buildModelSite({hosts: 3, workers, policies: [POLICY]});
  await site.run(WARM_UP_MILLIS);
  const [follower, other] = followersOf(site);
  site.faultState = {
    ...site.faultState,
    logAvailability: host => (host === follower.name ? 'refuses' : 'answers'),
  };
  await site.run(5000);
  site.faultState = {...site.faultState, logAvailability: () => 'answers'};
  // One record in 200 ms, while the holder writes one in 150 ms.
  site.log.readBehaviour = host =>
    host === follower.name
      ? {...PROMPT_READS, maxRecords: 1, intervalMillis: 200}
      : PROMPT_READS;
  const jobIds = await submitJobs(site, other, 6);
  await askFor(site, [follower], jobIds, 8000);
  const {violations} = site.checker;
  site.log.readBehaviour = () => PROMPT_READS;
  await site.run(1000);
  return {site, follower, jobIds, violations: [...violations]};
}

/** A holder takes over, and writes heartbeats without reading requests. */
async function takeOverWithoutRequests(workers: number) {
  const site = buildModelSite({hosts: 4, workers, policies: [POLICY]});
  await site.run(WARM_UP_MILLIS);
  const earlierHolder = site.holder();
  const [acceptingHost, ...others] = followersOf(site);
  site.log.readBehaviour = (_, stream) => ({
    ...PROMPT_READS,
    isAvailable: stream !== 'requests',
  });
  const jobIds = await submitJobs(site, acceptingHost, 6);
  if (earlierHolder !== undefined) {
    site.kill(earlierHolder);
  }
  await askFor(site, others, jobIds, 12_000);
  const {violations} = site.checker;
  site.log.readBehaviour = () => PROMPT_READS;
  await site.run(1000);
  return {site, others, jobIds, violations: [...violations]};
}

void t.test('a host in a backlog denies no accepted job', async t => {
  const {site, follower, jobIds, violations} = await readBacklogInPages(2);
  t.same(ofRule(violations, 'LOST'), []);
  t.equal(site.readJobState(follower, jobIds[0]), 'completed');
  t.equal(site.readJobState(follower, '00000000000000ff'), 'absent');
});

void t.test('a host in a backlog counts no too few pending', async t => {
  const {site, follower, violations} = await readBacklogInPages(0);
  t.same(ofRule(violations, 'MIXED'), []);
  t.equal(site.readPending(follower, POLICY.name), 6);
});

void t.test(
  'no host denies accepted jobs that a new holder has not read',
  async t => {
    const {site, others, jobIds, violations} = await takeOverWithoutRequests(2);
    t.same(ofRule(violations, 'LOST'), []);
    await site.run(2000);
    for (const host of others) {
      t.equal(site.readJobState(host, jobIds[0]), 'completed');
      t.equal(site.readJobState(host, '00000000000000ff'), 'absent');
    }
  },
);

void t.test(
  'no host counts too few pending while a new holder has not read them',
  async t => {
    const {site, others, violations} = await takeOverWithoutRequests(0);
    t.same(ofRule(violations, 'MIXED'), []);
    for (const host of others) {
      t.equal(site.readPending(host, POLICY.name), 6);
    }
  },
);

void t.test(
  'a heartbeat that takes effect late makes no copy look newer',
  async t => {
    const site = buildModelSite({hosts: 3, workers: 2, policies: [POLICY]});
    await site.run(WARM_UP_MILLIS);
    const [follower, other] = followersOf(site);
    // From now on the holder reads no requests, and each of its batches takes
    // effect two seconds after it was sent.
    site.log.readBehaviour = (_, stream) => ({
      ...PROMPT_READS,
      isAvailable: stream !== 'requests',
    });
    site.log.otherAppendMillis = () => 1900;
    const jobIds = await submitJobs(site, other, 1);
    await askFor(site, [follower], jobIds, 8000);
    t.same(ofRule(site.checker.violations, 'LOST'), []);
  },
);

void t.test('a host that has just started denies no accepted job', async t => {
  const site = buildModelSite({hosts: 3, workers: 2, policies: [POLICY]});
  await site.run(WARM_UP_MILLIS);
  const [follower, other] = followersOf(site);
  const jobIds = await submitJobs(site, other, 1);
  site.restart(follower);
  await askFor(site, [follower], jobIds, 4000);
  t.same(site.checker.violations, []);
  t.equal(site.readJobState(follower, '00000000000000ff'), 'absent');
});

void t.test('in calm times no host refuses to answer', async t => {
  const site = buildModelSite({hosts: 3, workers: 2, policies: [POLICY]});
  await site.run(1000);
  // As slow as reads of the platform's log with their waits and pauses.
  site.log.readBehaviour = (_, stream) => ({
    ...PROMPT_READS,
    intervalMillis: stream === 'requests' ? 450 : 150,
  });
  await site.run(3000);
  const answers = new Set<string>();
  for (let round = 0; round < 100; round++) {
    for (const host of site.hosts) {
      answers.add(site.readJobState(host, '00000000000000ff'));
      answers.add(String(site.readPending(host, POLICY.name)));
    }
    await site.run(ASK_INTERVAL_MILLIS);
  }
  t.same([...answers].sort(), ['0', 'absent']);
});

function ofRule(violations: readonly string[], rule: string): string[] {
  return violations.filter(line => line.includes(` ${rule}: `)).slice(0, 3);
}
