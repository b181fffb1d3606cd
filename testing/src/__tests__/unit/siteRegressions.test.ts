import {POLL_WORKER, RUNS, RUN_ENDED, WORKERS} from '@samphireramp/fleet';
import {DURABLE_PROGRESS} from '@samphireramp/holding';
import t from 'tap';
import {
  type ModelSite,
  type ModelSiteOptions,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
} from '../../index';

const ADVICE = {decisionMillis: 10, perWorkerMillis: 1, validityMillis: 2500};
const POLICIES = [
  buildPolicy({name: 'urgent', priority: 0}),
  buildPolicy({name: 'advised', priority: 1, advice: ADVICE}),
];

function buildSite(
  workers: number,
  overrides: Partial<ModelSiteOptions> = {},
): ModelSite {
  return buildModelSite({workers, policies: POLICIES, ...overrides});
}

void t.test('steps that are ready together are each placed once', async t => {
  const site = buildSite(4);
  await site.run(1000);
  const steps = [buildStep({count: 3}), buildStep({count: 3})];
  const job = buildJob('00000000000000aa', steps, {receivedAt: 1000});
  void site.submit(site.hosts[0], job);
  await site.run(3000);
  t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
  t.equal(site.checker.countStarts(job.id), 6);
  t.same(site.checker.violations, []);
});

void t.test('a gang that waited gets new tickets for every task', async t => {
  const site = buildSite(4);
  await site.run(1000);
  const blockerNeed = {cpuMillis: 7900, memoryMegabytes: 1000, accelerators: 0};
  const blocker = buildJob(
    '00000000000000ab',
    // Each task runs longer than a ticket is valid.
    [buildStep({count: 4, need: blockerNeed, estimateMillis: 4000})],
    {policy: POLICIES[0], receivedAt: 1000},
  );
  const need = {cpuMillis: 6000, memoryMegabytes: 1000, accelerators: 0};
  const gang = buildJob(
    '00000000000000ac',
    [buildStep({count: 4, need, isGang: true})],
    {policy: POLICIES[1], receivedAt: 1100},
  );
  void site.submit(site.hosts[0], blocker);
  await site.run(300);
  void site.submit(site.hosts[0], gang);
  await site.run(8000);
  t.equal(site.readJobState(site.hosts[0], blocker.id), 'completed');
  t.equal(site.readJobState(site.hosts[0], gang.id), 'completed');
  t.same(site.checker.violations, []);
});

void t.test('ends reported again to a new holder count once', async t => {
  const job = buildJob('00000000000000ad', [buildStep()], {receivedAt: 1000});
  const site = buildModelSite({
    hosts: 1,
    policies: [job.policy],
    script: (_, runId) => ({
      step: job.steps[0],
      workMillis: runId.run < 3 ? 200 : 3000,
      fails: run => run < 3,
    }),
  });
  await site.run(1000);
  void site.submit(site.hosts[0], job);
  await site.run(1500);
  // Three failures exhaust the attempts: counted again, these ends would fail the
  // job although its third run succeeds.
  const {kernel} = site.hosts[0];
  // Workers report all unacknowledged ends again to a new holder. Here the ends
  // of both failed runs arrive again, the later one first.
  for (const run of [2, 1]) {
    const runId = {jobId: job.id, occurrence: 0, step: 0, index: 0, run};
    kernel.dispatch(RUN_ENDED, {
      incarnation: 'worker-0@1',
      runId,
      outcome: 'failed',
      checkpoint: '',
      ranMillis: undefined,
    });
  }
  await site.run(4000);
  t.equal(site.checker.countStarts(job.id), 3);
  t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
  t.same(site.checker.violations, []);
});

void t.test('a possibly accepted job is not answered as refused', async t => {
  const site = buildSite(2);
  await site.run(1000);
  let appends = 0;
  site.faultState = {
    ...site.faultState,
    // The first append takes effect but its answer is lost. After that the log
    // refuses all calls of host-0.
    losesAppendAnswer: () => ++appends === 1,
    logAvailability: host =>
      host === 'host-0' && appends > 0 ? 'refuses' : 'answers',
  };
  const holder = site.holder();
  const host = site.hosts.find(({name}) => name === 'host-0');
  if (host === undefined || holder === undefined || holder === host) {
    t.fail('host-0 must be a follower');
    return;
  }
  const job = buildJob('00000000000000ae', [buildStep()], {receivedAt: 1000});
  const answer = site.submit(host, job);
  await site.run(5000);
  t.equal((await answer)?.kind, 'unknown');
  t.equal(site.checker.countStarts(job.id), 1);
  t.same(site.checker.violations, []);
});

void t.test('a task that needs nearly a whole worker runs', async t => {
  const site = buildSite(2);
  await site.run(1000);
  const need = {cpuMillis: 7900, memoryMegabytes: 15_900, accelerators: 0};
  const job = buildJob('00000000000000af', [buildStep({count: 3, need})], {
    policy: POLICIES[1],
    receivedAt: 1000,
  });
  void site.submit(site.hosts[0], job);
  await site.run(5000);
  t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
  t.same(site.checker.violations, []);
});

void t.test('a waiting gang asks for advice on workers that join', async t => {
  const site = buildSite(1);
  await site.run(1000);
  const need = {cpuMillis: 3000, memoryMegabytes: 1000, accelerators: 0};
  const blockerNeed = {...need, cpuMillis: 7900};
  const blocker = buildJob(
    '00000000000000b0',
    [buildStep({need: blockerNeed, estimateMillis: 60_000})],
    {policy: POLICIES[0], receivedAt: 1000},
  );
  const gang = buildJob(
    '00000000000000b1',
    [buildStep({count: 2, need, isGang: true})],
    {policy: POLICIES[1], receivedAt: 1300},
  );
  void site.submit(site.hosts[0], blocker);
  await site.run(300);
  void site.submit(site.hosts[0], gang);
  await site.run(1000);
  site.addWorker('worker-1', 'rack-1');
  await site.run(3000);
  t.equal(site.readJobState(site.hosts[0], gang.id), 'completed');
  t.equal(site.readJobState(site.hosts[0], blocker.id), 'running');
  t.same(site.checker.violations, []);
});

void t.test('a restarted worker replaces its old incarnation', async t => {
  const site = buildSite(1);
  await site.run(1000);
  const step = buildStep({count: 3});
  const job = buildJob('00000000000000b4', [step], {policy: POLICIES[0]});
  void site.submit(site.hosts[0], job);
  await site.run(2000);
  const [worker] = site.workers;
  const {kernel} = site.holder() ?? site.hosts[0];
  const {faultState} = site;
  t.ok((kernel.read(WORKERS).get(worker.incarnation)?.durableEnd ?? 0) > 0);
  // A poll for the old incarnation would acknowledge ends of the new one that
  // the holder has not read.
  const old = worker.incarnation;
  const polls: Array<{acknowledgedEnd: number; leaseUntil?: number}> = [];
  site.faultState = {...faultState, canCall: (_, id) => id !== worker.id};
  worker.restart();
  site.writeRegistryEntry(worker);
  await site.run(20);
  kernel.registerEffect(POLL_WORKER, poll => {
    if (poll.incarnation === old) {
      polls.push(poll);
    }
  });
  await site.run(6000);
  t.ok(polls.length > 0);
  t.same(
    polls.filter(
      ({acknowledgedEnd, leaseUntil}) => acknowledgedEnd || leaseUntil,
    ),
    [],
  );
  site.faultState = faultState;
  await site.run(1100);
  t.same([...kernel.read(WORKERS).keys()], [worker.incarnation]);
});

void t.test('a step that waits long is logged with what it lacks', async t => {
  const site = buildSite(2);
  await site.run(1000);
  const oversizedNeed = {
    cpuMillis: 9000,
    memoryMegabytes: 1000,
    accelerators: 0,
  };
  const job = buildJob('00000000000000b2', [buildStep({need: oversizedNeed})], {
    policy: POLICIES[0],
    receivedAt: 1000,
  });
  void site.submit(site.hosts[0], job);
  await site.run(6000);
  const waitEvents = site.events.filter(line => line.includes('step-waits'));
  t.ok(
    waitEvents.length >= 1 && waitEvents.length <= 4,
    `logged ${waitEvents.length} times`,
  );
  t.match(
    waitEvents[0],
    /1 tasks, 2 suitable workers, 0 with advice, 2 permitted, 0 tasks fit/,
  );
});

void t.test('a job written to two partitions is forgotten in both', async t => {
  const site = buildSite(2, {keepEndedMillis: 1000});
  await site.run(1000);
  let appends = 0;
  // The first append takes effect but its answer is lost, so the host appends the
  // request again to the other partition.
  site.faultState = {
    ...site.faultState,
    losesAppendAnswer: () => ++appends === 1,
  };
  const job = buildJob('00000000000000b3', [buildStep()], {
    policy: POLICIES[0],
    receivedAt: 1000,
  });
  const follower = site.hosts.find(host => host !== site.holder());
  void site.submit(follower ?? site.hosts[0], job);
  await site.run(15_000);
  t.equal(site.checker.countStarts(job.id), 1);
  const holder = site.holder();
  if (holder !== undefined) {
    site.kill(holder);
  }
  await site.run(5000);
  t.ok(site.holder(), 'another host is the holder');
  t.equal(site.checker.countStarts(job.id), 1, 'it did not run again');
});

void t.test('jobs share appends and are accepted on a slow log', async t => {
  const site = buildSite(4);
  await site.run(1000);
  const busyUntil = new Map<number, number>();
  let maxWaitMillis = 0;
  // Each partition serves one append at a time, in 250 ms.
  site.log.requestAppendMillis = partition => {
    const {now} = site.clock;
    const until = Math.max(now, busyUntil.get(partition) ?? 0) + 250;
    busyUntil.set(partition, until);
    maxWaitMillis = Math.max(maxWaitMillis, until - now);
    return until - now;
  };
  const answers: Array<string | undefined> = [];
  for (let index = 0; index < 100; index++) {
    const id = `c${index}`.padStart(16, '0');
    const job = buildJob(id, [buildStep({estimateMillis: 50})], {
      policy: POLICIES[0],
      receivedAt: site.clock.now,
    });
    const host = site.hosts[index % site.hosts.length];
    void site.submit(host, job).then(answer => answers.push(answer?.kind));
    await site.run(40);
  }
  await site.run(2000);
  t.equal(answers.filter(kind => kind === 'accepted').length, 100);
  t.ok(
    maxWaitMillis < 2000,
    `an append waited ${Math.round(maxWaitMillis)} ms`,
  );
});

void t.test('a job is forgotten only after its request is deleted', async t => {
  const site = buildSite(2, {keepEndedMillis: 1000});
  // An empty value deletes a record. The log refuses to delete requests.
  const applyAppend = site.log.applyAppend.bind(site.log);
  site.log.applyAppend = request =>
    request.stream === 'requests' &&
    request.records.some(({value}) => value.length === 0)
      ? {kind: 'refused', detail: 'busy'}
      : applyAppend(request);
  await site.run(1000);
  const job = buildJob('00000000000000b4', [buildStep()], {
    policy: POLICIES[0],
    receivedAt: 1000,
  });
  void site.submit(site.hosts[0], job);
  await site.run(15_000);
  const holder = site.holder();
  if (holder !== undefined) {
    site.kill(holder);
  }
  await site.run(5000);
  t.equal(site.checker.countStarts(job.id), 1, 'it did not run again');
  site.log.applyAppend = applyAppend;
  await site.run(8000);
  t.equal(site.holder()?.kernel.read(DURABLE_PROGRESS).has(job.id), false);
});

void t.test('a start delayed past a restart runs no task twice', async t => {
  const site = buildSite(2);
  await site.run(1000);
  // The answer to the first start order is lost. The order is executed one second
  // later, by the next incarnation of the worker.
  let orderCount = 0;
  site.faultState = {
    ...site.faultState,
    losesOrderAnswer: () => ++orderCount === 1,
    orderDelayMillis: () => 1000,
  };
  const job = buildJob(
    '00000000000000b5',
    [buildStep({estimateMillis: 3000})],
    {
      policy: POLICIES[0],
      receivedAt: 1000,
    },
  );
  void site.submit(site.hosts[0], job);
  while (orderCount === 0) {
    await site.run(1);
  }
  const [run] = [...(site.holder()?.kernel.read(RUNS).values() ?? [])];
  const worker = site.workers.find(
    ({incarnation}) => incarnation === run.incarnation,
  );
  worker?.restart();
  if (worker !== undefined) {
    site.writeRegistryEntry(worker);
  }
  await site.run(12_000);
  t.same(site.checker.violations, []);
  t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
});

void t.test('a start in flight at a restart runs no task twice', async t => {
  const site = buildSite(2);
  await site.run(1000);
  const job = buildJob(
    '00000000000000b6',
    [buildStep({estimateMillis: 3000})],
    {
      policy: POLICIES[0],
      receivedAt: 1000,
    },
  );
  const findOrderedRun = () =>
    [...(site.holder()?.kernel.read(RUNS).values() ?? [])].find(
      ({phase}) => phase === 'ordered',
    );
  void site.submit(site.hosts[0], job);
  while (findOrderedRun() === undefined) {
    await site.run(1);
  }
  // The worker restarts while the start order is in flight, so that its next
  // incarnation executes the order.
  const incarnation = findOrderedRun()?.incarnation;
  const worker = site.workers.find(each => each.incarnation === incarnation);
  worker?.restart();
  await site.run(5);
  t.equal(worker?.countRuns(), 1, 'the next incarnation started the run');
  if (worker !== undefined) {
    site.writeRegistryEntry(worker);
  }
  await site.run(12_000);
  t.same(site.checker.violations, []);
  t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
});
