import {type Job, type Step, isFinal} from '@samphireramp/jobs';
import {createRandom} from '../seededRandom';
import {buildJob, buildPolicy, buildStep} from './jobFixture';
import type {ModelHost} from './ModelHost';
import {ModelSite} from './ModelSite';
import type {ModelWorker} from './ModelWorker';

const STORM_MILLIS = 12_000;
const CALM_MILLIS = 60_000;
const SHOW_MILLIS = 50;
/** The entry of a silent worker goes after this. */
const ENTRY_MILLIS = 4500;
/** Bounds in time hold from this long after the last fault. */
const CONTACT_MILLIS = 5000;
const CAPACITY = {cpuMillis: 8000, memoryMegabytes: 16_000, accelerators: 0};

/** Which faults a schedule may draw. */
export interface SiteFaults {
  readonly hostKills: number;
  /** Times that all hosts are stopped and started again, one by one. */
  readonly hostRolls: number;
  readonly hostCuts: number;
  readonly hostFreezes: number;
  /** Times of day that jump, and back after a while. */
  readonly clockSteps: number;
  readonly logOutages: number;
  readonly lostAppends: boolean;
  readonly workerCuts: number;
  readonly workerRestarts: number;
  readonly workersGone: number;
  /** Workers that say so, go on for a while, and leave. */
  readonly workersLeaving: number;
  readonly workersStuck: number;
  readonly workersFailing: number;
  readonly lostOrders: boolean;
  readonly cancels: number;
}

/** All kinds of faults, a few of each. */
export const ALL_FAULTS: SiteFaults = {
  hostKills: 3,
  hostRolls: 1,
  hostCuts: 2,
  hostFreezes: 2,
  clockSteps: 1,
  logOutages: 1,
  lostAppends: true,
  workerCuts: 2,
  workerRestarts: 2,
  workersGone: 1,
  workersLeaving: 1,
  workersStuck: 1,
  workersFailing: 1,
  lostOrders: true,
  cancels: 4,
};

/** What a schedule came to. */
export interface SiteReport {
  readonly violations: readonly string[];
  readonly errors: readonly unknown[];
  readonly unfinished: readonly string[];
  readonly accepted: number;
  readonly site: ModelSite;
}

/**
 * Runs one random schedule: a storm with faults, then calm. `prepare` may
 * change the site before it begins.
 */
export async function runSiteSchedule(
  seed: number,
  faults: SiteFaults,
  prepare: (site: ModelSite) => void = () => undefined,
): Promise<SiteReport> {
  const random = createRandom(seed);
  const between = (least: number, most: number) =>
    least + Math.floor(random() * (most - least + 1));
  const pick = <Type>(list: readonly Type[]): Type =>
    list[Math.floor(random() * list.length)];
  const policies = [
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
  ];
  const cutFromLog = new Map<string, 'refuses' | 'silent'>();
  const cutFromWorkers = new Set<string>();
  const failingJobs = new Set<string>();
  let isStormy = true;
  const site = new ModelSite({
    hosts: 3,
    workers: 7,
    capacity: CAPACITY,
    forbiddenWorkers: 2,
    random,
    policies,
    weather: {
      reach: host => cutFromLog.get(host) ?? 'answers',
      losesAnswer: () => isStormy && faults.lostAppends && random() < 0.1,
      delayMillis: () => (isStormy && random() < 0.05 ? between(10, 3000) : 0),
      canCall: (host, worker) =>
        !cutFromWorkers.has(`${host}/${worker}`) &&
        !cutFromWorkers.has(`*/${worker}`),
      losesOrderAnswer: () => isStormy && faults.lostOrders && random() < 0.08,
      orderDelayMillis: () => (random() < 0.3 ? 0 : between(500, 6000)),
    },
    script: (job, place) => ({
      step: job.steps[place.step],
      workMillis: job.steps[place.step].estimateMillis,
      fails: run => failingJobs.has(job.id) && run % 3 !== 0,
    }),
  });
  prepare(site);
  site.judge.isCalm = () => site.queue.now > STORM_MILLIS + CONTACT_MILLIS;
  const {queue} = site;
  const at = (millis: number, run: () => void) => queue.after(millis, run);
  const sometime = (run: () => void) => at(between(0, STORM_MILLIS), run);
  const forTimes = (times: number, run: () => void) => {
    for (let time = 0; time < times; time++) {
      sometime(run);
    }
  };
  const upHosts = () => site.hosts.filter(host => host.isUp);
  const anyHost = () => pick(upHosts().length > 0 ? upHosts() : site.hosts);
  // The holder is where a fault hurts most.
  const faultyHost = (): ModelHost =>
    (random() < 0.6 ? site.holder() : undefined) ?? pick(site.hosts);

  forTimes(faults.hostKills, () => {
    const host = faultyHost();
    site.kill(host);
    at(between(100, 2500), () => site.restart(host));
  });
  forTimes(faults.hostRolls, () => {
    const graceMillis = between(200, 1500);
    const gapMillis = between(100, 2000);
    site.hosts.forEach((host, index) =>
      at(index * gapMillis, () => {
        site.stop(host, graceMillis);
        at(graceMillis + between(100, 800), () => site.restart(host));
      }),
    );
  });
  forTimes(faults.hostCuts, () => {
    const {name} = faultyHost();
    cutFromLog.set(name, random() < 0.5 ? 'refuses' : 'silent');
    at(between(200, 4000), () => cutFromLog.delete(name));
  });
  forTimes(faults.hostFreezes, () => {
    const host = faultyHost();
    host.isFrozen = true;
    at(between(300, 4000), () => {
      host.isFrozen = false;
    });
  });
  site.judge.clocksJump = faults.clockSteps > 0;
  forTimes(faults.clockSteps, () => {
    const host = faultyHost();
    host.clockAhead = (random() < 0.5 ? 1 : -1) * between(500, 4000);
    at(between(500, 6000), () => {
      host.clockAhead = 0;
    });
  });
  forTimes(faults.logOutages, () => {
    const how = random() < 0.5 ? 'refuses' : 'silent';
    site.hosts.forEach(({name}) => cutFromLog.set(name, how));
    at(between(300, 4000), () => cutFromLog.clear());
  });
  forTimes(faults.workerCuts, () => {
    const from = random() < 0.5 ? '*' : pick(site.hosts).name;
    const link = `${from}/${pick(site.workers).id}`;
    cutFromWorkers.add(link);
    at(between(300, 9000), () => cutFromWorkers.delete(link));
  });
  forTimes(faults.workerRestarts, () => {
    const worker = pick(site.workers);
    if (!worker.isGone) {
      worker.isUp = false;
      worker.restart();
      at(between(100, 3000), () => {
        worker.isUp = !worker.isGone;
        site.list(worker);
      });
    }
  });
  forTimes(faults.workersGone, () => {
    const worker = pick(site.workers);
    worker.leave();
    at(ENTRY_MILLIS, () => site.unlist(worker));
  });
  forTimes(faults.workersLeaving, () => {
    const worker = pick(site.workers);
    if (worker.isUp) {
      site.list(worker, true);
      at(between(500, 3000), () => {
        worker.leave();
        site.unlist(worker);
      });
    }
  });
  const spoil = (times: number, change: (worker: ModelWorker) => () => void) =>
    forTimes(times, () => at(between(500, 5000), change(pick(site.workers))));
  spoil(faults.workersStuck, worker => {
    worker.isStuck = true;
    return () => {
      worker.isStuck = false;
    };
  });
  spoil(faults.workersFailing, worker => {
    worker.failsAll = true;
    return () => {
      worker.failsAll = false;
    };
  });

  const jobs: Job[] = [];
  for (let index = 0; index < 24; index++) {
    const id = index.toString(16).padStart(16, '0');
    const submitAt = between(0, STORM_MILLIS);
    const policy = pick(policies);
    const job = buildJob(id, drawSteps(random, between), {
      policy,
      receivedAt: submitAt,
      ...(random() < 0.1
        ? {occurrences: 2, firstDueAt: submitAt + 900, intervalMillis: 700}
        : {}),
    });
    jobs.push(job);
    if (random() < 0.1) {
      failingJobs.add(id);
    }
    const submit = async (triesLeft: number): Promise<void> => {
      const answer = await site.submit(anyHost(), job);
      const isOver = answer?.kind === 'accepted' || triesLeft === 0;
      if (!isOver || random() < 0.15) {
        at(between(50, 1500), () => void submit(Math.max(0, triesLeft - 1)));
      }
    };
    at(submitAt, () => void submit(8));
  }
  forTimes(faults.cancels, () => {
    const accepted = jobs.filter(
      ({id}) => site.judge.jobs.get(id)?.acceptedAt !== undefined,
    );
    if (accepted.length > 0) {
      void site.cancel(anyHost(), pick(accepted).id);
    }
  });
  const show = () => {
    site.show(anyHost(), pick(jobs).id);
    at(SHOW_MILLIS, show);
  };
  show();

  await site.run(STORM_MILLIS);
  isStormy = false;
  site.hosts.filter(host => !host.isUp).forEach(host => site.restart(host));
  await site.run(CALM_MILLIS);

  const unfinished: string[] = [];
  for (const {job, acceptedAt, isCancelAsked} of site.judge.jobs.values()) {
    const state = site.show(site.hosts[0], job.id);
    const isOver = state !== 'absent' && state !== 'unsure' && isFinal(state);
    if (acceptedAt !== undefined && !isCancelAsked && !isOver) {
      unfinished.push(`${job.id} is ${state}`);
    }
  }
  return {
    violations: site.judge.violations,
    errors: site.errors,
    unfinished,
    accepted: [...site.judge.jobs.values()].filter(each => each.acceptedAt)
      .length,
    site,
  };
}

/** Draws the steps of a job. */
export function drawSteps(
  random: () => number,
  between: (least: number, most: number) => number,
): Step[] {
  const count = random() < 0.6 ? 1 : 2;
  return Array.from({length: count}, (_, number) =>
    buildStep({
      count: between(1, 5),
      need: {
        cpuMillis: between(300, 3500),
        memoryMegabytes: between(200, 5000),
        accelerators: 0,
      },
      estimateMillis: between(150, 2500),
      after: number > 0 && random() < 0.5 ? [0] : [],
      savesCheckpoints: random() < 0.4,
      isGang: random() < 0.3,
      mostOnOneWorker: random() < 0.1 ? 2 : 0,
    }),
  );
}
