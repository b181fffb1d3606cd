import t from 'tap';
import {
  type ModelHost,
  type ModelSite,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
  createRandom,
} from '../../index';

const RUNS = Number(process.env.SITE_RUNS ?? 5);
const FIRST_SEED = Number(process.env.SITE_SEED ?? 1);
const POLICY = buildPolicy();
const TASKS = 5;
/** Faults begin during this phase; they last 12 s at most. */
const FAULT_PHASE_MILLIS = 24_000;
const RECOVERY_MILLIS = 20_000;

/** Draws faults that delay, cut and replace holders, and cut workers from them. */
function scheduleFaults(site: ModelSite, random: () => number): void {
  const between = (least: number, most: number) =>
    least + Math.floor(random() * (most - least + 1));
  const pick = <Item>(items: readonly Item[]): Item =>
    items[Math.floor(random() * items.length)];
  const cuts = new Set<string>();
  const silentHosts = new Set<string>();
  const endsAt = site.clock.now + FAULT_PHASE_MILLIS;
  let isLogSlow = false;
  site.faultState = {
    ...site.faultState,
    logAvailability: host => (silentHosts.has(host) ? 'silent' : 'answers'),
    losesAppendAnswer: () => isLogSlow && random() < 0.2,
    appendDelayMillis: () =>
      isLogSlow && random() < 0.3 ? between(10, 1500) : 0,
    canCall: (host, worker) =>
      !cuts.has(`${host}/${worker}`) && !cuts.has(`*/${worker}`),
  };
  const target = (): ModelHost =>
    (random() < 0.7 ? site.holder() : undefined) ?? pick(site.hosts);
  const addFor = (set: Set<string>, item: string, millis: number) => {
    set.add(item);
    site.clock.after(millis, () => set.delete(item));
  };
  const faults: ReadonlyArray<() => void> = [
    () => {
      const host = target();
      if (host.isUp) {
        site.kill(host);
        site.clock.after(between(200, 1500), () => site.restart(host));
      }
    },
    () => addFor(silentHosts, target().name, between(300, 5000)),
    () => addFor(cuts, `*/${pick(site.workers).id}`, between(500, 5000)),
    () => {
      const {name} = target();
      const others = site.workers.filter(() => random() < 0.6);
      const millis = between(500, 5000);
      others.forEach(({id}) => addFor(cuts, `${name}/${id}`, millis));
    },
    // Leaves a worker to a holder that is cut off from the log.
    () => {
      const {name} = target();
      const {id} = pick(site.workers);
      const millis = between(1000, 6000);
      addFor(silentHosts, name, millis);
      site.hosts
        .filter(host => host.name !== name)
        .forEach(host => addFor(cuts, `${host.name}/${id}`, 2 * millis));
    },
    () => {
      const host = target();
      host.isFrozen = true;
      site.clock.after(between(300, 4500), () => {
        host.isFrozen = false;
      });
    },
    () => {
      isLogSlow = true;
      site.clock.after(between(500, 3000), () => {
        isLogSlow = false;
      });
    },
  ];
  const next = () => {
    if (site.clock.now < endsAt) {
      pick(faults)();
      site.clock.after(between(100, 1500), next);
    }
  };
  next();
}

void t.test(
  'no task runs twice, however holders and workers are cut',
  async t => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      const random = createRandom(seed);
      const site = buildModelSite({
        hosts: 3,
        workers: 4,
        policies: [POLICY],
        random,
      });
      await site.run(1000);
      const need = {cpuMillis: 2000, memoryMegabytes: 1000, accelerators: 0};
      const steps = Array.from({length: TASKS}, () =>
        buildStep({
          count: 1,
          need,
          estimateMillis: 100_000,
          mostOnOneWorker: 1,
        }),
      );
      const job = buildJob('00000000000000d2', steps, {
        policy: POLICY,
        receivedAt: 1000,
      });
      void site.submit(site.hosts[0], job);
      await site.run(2000);
      scheduleFaults(site, random);
      await site.run(FAULT_PHASE_MILLIS + RECOVERY_MILLIS);
      t.same(site.checker.violations, [], `violations with seed ${seed}`);
      t.same(site.errors, [], `errors with seed ${seed}`);
      const runs = site.workers.reduce(
        (sum, each) => sum + each.countRuns(),
        0,
      );
      t.equal(runs, TASKS, `runs with seed ${seed}`);
    }
  },
);
