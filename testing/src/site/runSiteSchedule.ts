import {
  type Job,
  type QueuePolicy,
  type Step,
  isFinalState,
} from '@samphireramp/jobs';
import {createRandom} from '../seededRandom';
import {drawAccount, drawAccounts, scheduleLimitChanges} from './accountFaults';
import {readAnswers} from './answerChecks';
import {scheduleCapacityChanges} from './capacityFaults';
import {buildJob, buildPolicy, buildStep} from './jobFixture';
import type {ModelHost} from './ModelHost';
import {ModelSite} from './ModelSite';
import type {ModelWorker} from './ModelWorker';
import type {ScheduleFaults} from './ScheduleFaults';
import {MAX_RESTART_FAULT_MILLIS, scheduleRestarts} from './restartFaults';
import {scheduleStreamOutages} from './streamFaults';

/** Faults are injected and jobs submitted during this phase. */
const FAULT_PHASE_MILLIS = 12_000;
/** Accepted jobs must end during this phase, in which no new fault begins. */
const RECOVERY_MILLIS = 60_000;
/** Interval at which callers read the state of a random job and a count. */
const READ_INTERVAL_MILLIS = 50;
/** Interval at which a schedule that may end early checks if its jobs have ended. */
const END_CHECK_MILLIS = 1000;
/** Time after which the worker registry deletes the entry of a lost worker. */
const REGISTRY_EXPIRY_MILLIS = 4500;
/** Time from the end of the fault phase until time limits apply. */
const SETTLING_MILLIS = 5000;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};

/** Time from the start of a task until it crashes its worker, if it does. */
const CRASH_MILLIS = 10;
/** Lengthens tasks where workers are cut off, so that they outlast their leases. */
const LONG_WORK_FACTOR = 3;

/** What a schedule led to. */
export interface ScheduleReport {
  readonly violations: readonly string[];
  /** Errors that the kernels of running hosts reported. */
  readonly errors: readonly unknown[];
  /** Accepted jobs that no caller cancelled and that haven't ended, as texts. */
  readonly unfinished: readonly string[];
  /** Number of accepted jobs. */
  readonly accepted: number;
  readonly site: ModelSite;
}

/**
 * Runs a random schedule of jobs and faults on a model site: a phase with faults,
 * then one without new faults. The seed determines the schedule. `prepare` may
 * change the site before it begins.
 */
export async function runSiteSchedule(
  seed: number,
  faults: ScheduleFaults,
  prepare: (site: ModelSite) => void = () => undefined,
): Promise<ScheduleReport> {
  const random = createRandom(seed);
  const between = (least: number, most: number) =>
    least + Math.floor(random() * (most - least + 1));
  const pick = <Type>(list: readonly Type[]): Type =>
    list[Math.floor(random() * list.length)];
  const policies = selectPolicies(faults.needTickets, [
    buildPolicy({name: 'urgent', priority: 0, targetMillis: 500}),
    buildPolicy({name: 'batch', priority: 2, maxAttempts: 6}),
    buildPolicy({
      name: 'advised',
      advice: {decisionMillis: 10, perWorkerMillis: 1, validityMillis: 2500},
    }),
    buildPolicy({
      name: 'slowly-advised',
      advice: {decisionMillis: 390, perWorkerMillis: 6, validityMillis: 2000},
    }),
  ]);
  const logAvailabilityByHost = new Map<string, 'refuses' | 'silent'>();
  const brokenLinks = new Set<string>();
  const failingJobs = new Set<string>();
  const refusingWorkers = new Set<string>();
  const crashingJobs = new Set<string>();
  let areFaultsActive = true;
  const site = new ModelSite({
    hosts: 3,
    workers: 7,
    capacity: CAPACITY,
    forbiddenWorkersPerStep: 2,
    random,
    policies,
    faultState: {
      logAvailability: host => logAvailabilityByHost.get(host) ?? 'answers',
      losesAppendAnswer: () =>
        areFaultsActive && faults.lostAppendAnswers && random() < 0.1,
      appendDelayMillis: () =>
        areFaultsActive && random() < 0.05 ? between(10, 3000) : 0,
      canCall: (host, worker) =>
        !brokenLinks.has(`${host}/${worker}`) &&
        !brokenLinks.has(`*/${worker}`),
      losesOrderAnswer: () =>
        areFaultsActive &&
        faults.lostOrderAnswers &&
        random() < (faults.workerRefusals > 0 ? 0.3 : 0.08),
      refusesOrder: worker => refusingWorkers.has(worker) && random() < 0.5,
      orderDelayMillis: () => (random() < 0.3 ? 0 : between(500, 6000)),
    },
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis: job.steps[runId.step].estimateMillis,
      crashMillis:
        runId.index === 0 && crashingJobs.has(job.id)
          ? CRASH_MILLIS
          : undefined,
      fails: run =>
        failingJobs.has(job.id) && run % 3 !== 0 && !isCuttingRestarted,
    }),
  });
  prepare(site);
  const isCuttingRestarted = (faults.cutOffRestarts ?? 0) > 0;
  const settledAt =
    FAULT_PHASE_MILLIS +
    SETTLING_MILLIS +
    (isCuttingRestarted ? MAX_RESTART_FAULT_MILLIS : 0);
  site.checker.areFaultsOver = () => site.clock.now > settledAt;
  const {clock} = site;
  const after = (millis: number, callback: () => void) =>
    clock.after(millis, callback);
  const atRandomTime = (callback: () => void) =>
    after(between(0, FAULT_PHASE_MILLIS), callback);
  const repeatAtRandomTimes = (times: number, callback: () => void) => {
    for (let time = 0; time < times; time++) {
      atRandomTime(callback);
    }
  };
  const upHosts = () => site.hosts.filter(host => host.isUp);
  const randomHost = () => pick(upHosts().length > 0 ? upHosts() : site.hosts);
  // Prefers the holder, since faults there affect the whole site.
  const randomFaultTarget = (): ModelHost =>
    (random() < 0.6 ? site.holder() : undefined) ?? pick(site.hosts);

  repeatAtRandomTimes(faults.hostKills, () => {
    const host = randomFaultTarget();
    site.kill(host);
    after(between(100, 2500), () => site.restart(host));
  });
  repeatAtRandomTimes(faults.rollingRestarts, () => {
    const graceMillis = between(200, 1500);
    const gapMillis = between(100, 2000);
    site.hosts.forEach((host, index) =>
      after(index * gapMillis, () => {
        site.stop(host, graceMillis);
        after(graceMillis + between(100, 800), () => site.restart(host));
      }),
    );
  });
  repeatAtRandomTimes(faults.hostLogDisconnects, () => {
    const {name} = randomFaultTarget();
    logAvailabilityByHost.set(name, random() < 0.5 ? 'refuses' : 'silent');
    after(between(200, 4000), () => logAvailabilityByHost.delete(name));
  });
  repeatAtRandomTimes(faults.hostFreezes, () => {
    const host = randomFaultTarget();
    host.isFrozen = true;
    after(between(300, 4000), () => {
      host.isFrozen = false;
    });
  });
  site.checker.hasClockSteps = faults.clockSteps > 0;
  repeatAtRandomTimes(faults.clockSteps, () => {
    const host = randomFaultTarget();
    host.clockOffsetMillis = (random() < 0.5 ? 1 : -1) * between(500, 4000);
    after(between(500, 6000), () => {
      host.clockOffsetMillis = 0;
    });
  });
  repeatAtRandomTimes(faults.logOutages, () => {
    const availability = random() < 0.5 ? 'refuses' : 'silent';
    site.hosts.forEach(({name}) =>
      logAvailabilityByHost.set(name, availability),
    );
    after(between(300, 4000), () => logAvailabilityByHost.clear());
  });
  repeatAtRandomTimes(faults.workerDisconnects, () => {
    const from = random() < 0.5 ? '*' : pick(site.hosts).name;
    const link = `${from}/${pick(site.workers).id}`;
    brokenLinks.add(link);
    after(between(300, 9000), () => brokenLinks.delete(link));
  });
  repeatAtRandomTimes(faults.workerRestarts, () => {
    const worker = pick(site.workers);
    if (!worker.isGone) {
      worker.isUp = false;
      worker.restart();
      after(between(100, 3000), () => {
        worker.isUp = !worker.isGone;
        site.writeRegistryEntry(worker);
      });
    }
  });
  repeatAtRandomTimes(faults.workerLosses, () => {
    const worker = pick(site.workers);
    worker.leave();
    after(REGISTRY_EXPIRY_MILLIS, () => site.deleteRegistryEntry(worker));
  });
  repeatAtRandomTimes(faults.workerDrains, () => {
    const worker = pick(site.workers);
    if (worker.isUp) {
      site.writeRegistryEntry(worker, true);
      after(between(500, 3000), () => {
        worker.leave();
        site.deleteRegistryEntry(worker);
      });
    }
  });
  // `begin` disturbs a worker and returns a function that ends the disturbance.
  const disturbWorkers = (
    times: number,
    begin: (worker: ModelWorker) => () => void,
  ) =>
    repeatAtRandomTimes(times, () =>
      after(between(500, 5000), begin(pick(site.workers))),
    );
  disturbWorkers(faults.workerStalls, worker => {
    worker.isStalled = true;
    return () => {
      worker.isStalled = false;
    };
  });
  disturbWorkers(faults.workerFailures, worker => {
    worker.failsAllRuns = true;
    return () => {
      worker.failsAllRuns = false;
    };
  });

  const workFactor = isCuttingRestarted ? LONG_WORK_FACTOR : 1;
  const jobs: Job[] = [];
  // Draws of their own, so that schedules without accounts stay as they were.
  const accountRandom = createRandom(seed);
  const accountCount = faults.accounts ?? 0;
  for (let index = 0; index < 24; index++) {
    const id = index.toString(16).padStart(16, '0');
    const submitAt = between(0, FAULT_PHASE_MILLIS);
    const policy = pick(policies);
    const steps = drawSteps(random, between).map(step => ({
      ...step,
      estimateMillis: step.estimateMillis * workFactor,
    }));
    const job = buildJob(id, steps, {
      policy,
      receivedAt: submitAt,
      account: accountCount > 0 ? drawAccount(accountRandom, accountCount) : '',
      ...(random() < 0.1
        ? {occurrences: 2, firstDueAt: submitAt + 900, intervalMillis: 700}
        : {}),
    });
    jobs.push(job);
    if (index < (faults.crashingJobs ?? 0)) {
      crashingJobs.add(id);
    }
    if (random() < 0.1) {
      failingJobs.add(id);
    }
    const submit = async (triesLeft: number): Promise<void> => {
      const answer = await site.submit(randomHost(), job);
      const isDone = answer?.kind === 'accepted' || triesLeft === 0;
      if (!isDone || random() < 0.15) {
        after(between(50, 1500), () => void submit(Math.max(0, triesLeft - 1)));
      }
    };
    after(submitAt, () => void submit(8));
  }
  repeatAtRandomTimes(faults.cancels, () => {
    const accepted = jobs.filter(
      ({id}) => site.checker.jobs.get(id)?.acceptedAt !== undefined,
    );
    if (accepted.length > 0) {
      void site.cancel(randomHost(), pick(accepted).id);
    }
  });
  // These are drawn last: schedules without them stay as they were.
  scheduleCapacityChanges(site, faults.workerShrinks, CAPACITY, {
    random,
    between,
    repeatAtRandomTimes,
  });
  disturbWorkers(faults.workerRefusals, ({id}) => {
    refusingWorkers.add(id);
    return () => refusingWorkers.delete(id);
  });
  if (accountCount > 0) {
    const accounts = drawAccounts(accountRandom, jobs);
    site.configureAccounts(accounts);
    scheduleLimitChanges(site, faults.limitChanges ?? 0, accounts, {
      random,
      between,
      repeatAtRandomTimes,
    });
  }
  if (
    faults.streamOutages !== undefined ||
    faults.requestOutages !== undefined
  ) {
    scheduleStreamOutages(site, faults, FAULT_PHASE_MILLIS, seed);
  }
  if (isCuttingRestarted) {
    scheduleRestarts(
      site,
      faults.cutOffRestarts ?? 0,
      FAULT_PHASE_MILLIS,
      seed,
    );
  }
  const readRandomAnswers = () => {
    readAnswers(site, randomHost(), pick(jobs).id, pick(policies).name);
    after(READ_INTERVAL_MILLIS, readRandomAnswers);
  };
  readRandomAnswers();

  await site.run(FAULT_PHASE_MILLIS);
  areFaultsActive = false;
  site.hosts.filter(host => !host.isUp).forEach(host => site.restart(host));
  const recoveredAt = site.clock.now + RECOVERY_MILLIS;
  do {
    await site.run(isCuttingRestarted ? END_CHECK_MILLIS : RECOVERY_MILLIS);
  } while (
    site.clock.now < recoveredAt &&
    (!site.checker.areFaultsOver() || listUnfinished(site).length > 0)
  );
  return {
    violations: site.checker.violations,
    errors: site.errors,
    unfinished: listUnfinished(site),
    accepted: [...site.checker.jobs.values()].filter(each => each.acceptedAt)
      .length,
    site,
  };
}

/** Returns the accepted jobs that no caller cancelled and that haven't ended. */
function listUnfinished(site: ModelSite): string[] {
  const unfinished: string[] = [];
  for (const {
    job,
    acceptedAt,
    isCancelRequested,
  } of site.checker.jobs.values()) {
    const state = site.readJobState(site.hosts[0], job.id);
    const isOver =
      state !== 'absent' && state !== 'unsure' && isFinalState(state);
    if (acceptedAt !== undefined && !isCancelRequested && !isOver) {
      unfinished.push(`${job.id} is ${state}`);
    }
  }
  return unfinished;
}

/** Returns the policies of queues that need tickets or of those that need none. */
function selectPolicies(
  needTickets: boolean | undefined,
  policies: readonly QueuePolicy[],
): readonly QueuePolicy[] {
  return policies.filter(
    ({advice}) =>
      needTickets === undefined || needTickets === (advice !== undefined),
  );
}

/** Draws one or two steps for a job. */
export function drawSteps(
  random: () => number,
  between: (least: number, most: number) => number,
): Step[] {
  const count = random() < 0.6 ? 1 : 2;
  return Array.from({length: count}, (_, stepIndex) =>
    buildStep({
      count: between(1, 5),
      need: {
        cpuMillis: between(300, 3500),
        memoryMegabytes: between(200, 5000),
        accelerators: 0,
      },
      estimateMillis: between(150, 2500),
      after: stepIndex > 0 && random() < 0.5 ? [0] : [],
      savesCheckpoints: random() < 0.4,
      isGang: random() < 0.3,
      mostOnOneWorker: random() < 0.1 ? 2 : 0,
    }),
  );
}
