import {DISPATCH_EVENT, PLACE_TASKS} from '@samphireramp/dispatch';
import {
  type Job,
  type QueuePolicy,
  type Step,
  criticalPathMillis,
} from '@samphireramp/jobs';
import {
  ModelSite,
  buildJob,
  buildPolicy,
  buildStep,
  createRandom,
} from '@samphireramp/testing';

/**
 * Measures how well jobs of three queues are served while they compete for
 * workers and for the adviser, on a model site in virtual time. Run with
 * `npm run bench:contention [SEED] [SCALE] [LOAD]`.
 */

const CAPACITY = {cpuMillis: 32_000, memoryMegabytes: 65_536, accelerators: 0};
/** Workers and hosts of a site of scale 1. */
const WORKER_COUNT = 246;
const HOST_COUNT = 42;
/** Share of the workers that the adviser forbids to each step. */
const FORBIDDEN_SHARE = 0.55;
const TRAFFIC_MILLIS = 20_000;
const FINISH_MILLIS = 10_000;
/** Time before the traffic, in which the workers are listed. */
const LEAD_MILLIS = 2000;
/** Interval between two looks at the states of the jobs. */
const LOOK_MILLIS = 50;
/** Credit of a job that is completed within three times its objective. */
const LATE_CREDIT = 0.2;
const LATE_FACTOR = 3;

/** Share of the tasks that run for several times as long as estimated. */
const SLOW_SHARE = 0.03;
const SLOW_FACTOR = 7;

/** Traffic of one queue of a site of scale 1. */
interface QueueTraffic {
  readonly policy: QueuePolicy;
  readonly jobsPerSecond: number;
  readonly meanTasks: number;
  readonly meanMillis: number;
  readonly meanCpuMillis: number;
  readonly meanMemoryMegabytes: number;
  readonly isGang: boolean;
  /** Jobs that are submitted before all others. */
  readonly backlog: number;
}

const QUEUES: readonly QueueTraffic[] = [
  {
    policy: buildPolicy({
      name: 'plan',
      priority: 1,
      stretch: 2.2,
      targetMillis: 1200,
      advice: {
        decisionMillis: 442,
        perWorkerMillis: 6.37,
        validityMillis: 2000,
      },
    }),
    jobsPerSecond: 4.4,
    meanTasks: 20,
    meanMillis: 3400,
    meanCpuMillis: 9000,
    meanMemoryMegabytes: 9000,
    isGang: true,
    backlog: 18,
  },
  {
    policy: buildPolicy({
      name: 'recalculation',
      priority: 2,
      stretch: 4,
      targetMillis: 3000,
      advice: {
        decisionMillis: 104,
        perWorkerMillis: 1.43,
        validityMillis: 2000,
      },
    }),
    jobsPerSecond: 11.4,
    meanTasks: 25,
    meanMillis: 1900,
    meanCpuMillis: 3500,
    meanMemoryMegabytes: 3600,
    isGang: false,
    backlog: 25,
  },
  {
    policy: buildPolicy({
      name: 'receipt',
      priority: 0,
      stretch: 1.5,
      targetMillis: 500,
      advice: {
        decisionMillis: 11.7,
        perWorkerMillis: 0.169,
        validityMillis: 2000,
      },
    }),
    jobsPerSecond: 67.8,
    meanTasks: 3,
    meanMillis: 680,
    meanCpuMillis: 5000,
    meanMemoryMegabytes: 9100,
    isGang: false,
    backlog: 0,
  },
];

/** Returns a positive number with the given mean, as uneven as real steps. */
function drawAround(random: () => number, mean: number, spread = 0.5): number {
  const gauss = Math.sqrt(-2 * Math.log(1 - random()));
  const normal = gauss * Math.cos(2 * Math.PI * random());
  return mean * Math.exp(spread * normal - (spread * spread) / 2);
}

function createStep(random: () => number, queue: QueueTraffic): Step {
  const memory = drawAround(random, queue.meanMemoryMegabytes);
  return buildStep({
    count: Math.max(1, Math.round(drawAround(random, queue.meanTasks, 0.8))),
    need: {
      cpuMillis: Math.min(
        15_000,
        Math.round(drawAround(random, queue.meanCpuMillis)),
      ),
      memoryMegabytes: Math.min(18_000, Math.round(memory)),
      accelerators: 0,
    },
    estimateMillis: Math.round(drawAround(random, queue.meanMillis)),
    isGang: queue.isGang,
  });
}

interface SubmittedJob {
  readonly job: Job;
  readonly queue: QueueTraffic;
  readonly submittedAt: number;
  completedAt: number | undefined;
}

async function measureContention(
  seed: number,
  scale: number,
  load: number,
): Promise<void> {
  const random = createRandom(seed);
  const workers = Math.round(WORKER_COUNT * scale);
  const slowTasks = new Map<string, ReadonlySet<number>>();
  const drawSlowTasks = (step: Step) =>
    new Set(
      Array.from({length: step.count}, (_, index) => index).filter(
        () => random() < SLOW_SHARE,
      ),
    );
  const site = new ModelSite({
    hosts: Math.max(1, Math.round(HOST_COUNT * scale)),
    workers,
    capacity: CAPACITY,
    random,
    policies: QUEUES.map(({policy}) => policy),
    forbiddenWorkersPerStep: Math.round(workers * FORBIDDEN_SHARE),
    script: (job, runId) => ({
      step: job.steps[runId.step],
      workMillis:
        job.steps[runId.step].estimateMillis *
        (slowTasks.get(job.id)?.has(runId.index) ? SLOW_FACTOR : 1),
      fails: () => false,
    }),
  });
  await site.run(LEAD_MILLIS);
  const submitted: SubmittedJob[] = [];
  const submitAt = (millis: number, queue: QueueTraffic) =>
    site.clock.after(millis, () => {
      const id = (submitted.length + 1).toString(16).padStart(16, '0');
      const job = buildJob(id, [createStep(random, queue)], {
        policy: queue.policy,
        receivedAt: site.clock.now,
      });
      slowTasks.set(id, drawSlowTasks(job.steps[0]));
      submitted.push({
        job,
        queue,
        submittedAt: site.clock.now,
        completedAt: undefined,
      });
      const host = site.hosts[Math.floor(random() * site.hosts.length)];
      void site.submit(host, job);
    });
  for (const queue of QUEUES) {
    for (let index = 0; index < queue.backlog * scale; index++) {
      submitAt(0, queue);
    }
    const count = (queue.jobsPerSecond * scale * load * TRAFFIC_MILLIS) / 1000;
    for (let index = 0; index < count; index++) {
      submitAt(random() * TRAFFIC_MILLIS, queue);
    }
  }
  let adviceCalls = 0;
  let placements = 0;
  let passMillis = 0;
  let passes = 0;
  for (const {kernel} of site.hosts) {
    kernel.registerEffect(DISPATCH_EVENT, ({event}) => {
      adviceCalls += event === 'advised' ? 1 : 0;
      placements += event === 'step-placed' ? 1 : 0;
    });
    const dispatch = kernel.dispatch.bind(kernel);
    kernel.dispatch = (command, payload) => {
      const startedAt = performance.now();
      const isCommitted = dispatch(command, payload);
      if ((command as unknown) === PLACE_TASKS) {
        passMillis += performance.now() - startedAt;
        passes++;
      }
      return isCommitted;
    };
  }
  for (
    let millis = 0;
    millis < TRAFFIC_MILLIS + FINISH_MILLIS;
    millis += LOOK_MILLIS
  ) {
    await site.run(LOOK_MILLIS);
    for (const each of submitted) {
      const isCompleted = () =>
        site.readJobState(site.hosts[0], each.job.id) === 'completed';
      if (each.completedAt === undefined && isCompleted()) {
        each.completedAt = site.clock.now;
      }
    }
  }
  for (const queue of QUEUES) {
    const jobs = submitted.filter(each => each.queue === queue);
    const factors = jobs
      .map(({job, submittedAt, completedAt = Infinity}) => {
        const {stretch, targetMillis} = queue.policy;
        const slowness = slowTasks.get(job.id)?.size ? SLOW_FACTOR : 1;
        const objective =
          stretch * criticalPathMillis(job) * slowness + targetMillis;
        return (completedAt - submittedAt) / objective;
      })
      .sort((a, b) => a - b);
    const inTime = factors.filter(factor => factor <= 1).length;
    const late = factors.filter(factor => factor <= LATE_FACTOR).length;
    process.stdout.write(
      `queue=${queue.policy.name} jobs=${jobs.length} in_time=${inTime}` +
        ` late=${late - inTime} credit=${(
          (inTime + LATE_CREDIT * (late - inTime)) /
          jobs.length
        ).toFixed(3)}` +
        ` median_of_objective=${factors[factors.length >> 1].toFixed(2)}\n`,
    );
  }
  process.stdout.write(
    `seed=${seed} scale=${scale} load=${load} advice_calls=${adviceCalls}` +
      ` placements=${placements} passes=${passes}` +
      ` millis_each_pass=${(passMillis / passes).toFixed(2)}` +
      ` violations=${site.checker.violations.length} errors=${site.errors.length}\n`,
  );
}

const [seed = '1', scale = '0.5', load = '1'] = process.argv.slice(2);
await measureContention(Number(seed), Number(scale), Number(load));
