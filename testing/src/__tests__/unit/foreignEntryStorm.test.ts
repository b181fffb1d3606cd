import t from 'tap';
import {
  type ModelSite,
  type ModelWorker,
  buildJob,
  buildModelSite,
  buildStep,
} from '../../index';
import {
  type ForeignEntry,
  OTHER_ADDRESS,
  OWN_ENTRY_MILLIS,
  POLICY,
  changeEntry,
  delayAnswers,
  endHolder,
  writeForeignEntry,
} from './foreignEntryFixture';

const JOB_ID = '00000000000000d0';
const TASK_COUNT = 3;
/** Interval of the foreign entries, and their number. */
const REPEAT_MILLIS = 100;
const ENTRY_COUNT = 200;
/** Time from the submit until the holder is ended, if it is. */
const TAKE_OVER_MILLIS = 3000;

/** Foreign entries that are written again and again, and what happens beside them. */
interface Storm {
  readonly name: string;
  /** Time from the submit until the first entry. */
  readonly beginMillis: number;
  readonly entry: (number: number) => ForeignEntry;
  readonly answerDelayMillis?: number;
  readonly takesOver?: boolean;
  readonly losesOrderAnswers?: boolean;
}

/** Entries of ever later starts. */
const laterStart = (number: number): ForeignEntry => ({
  name: 'of a later start',
  build: (_, worker) => changeEntry(worker, {born: worker.born + number}),
});
/** Entries of two starts in turn. */
const twoStarts = (number: number): ForeignEntry => ({
  name: 'of two starts',
  build: (_, worker) => changeEntry(worker, {born: 100 + (number % 2)}),
});

const BASE = {beginMillis: 1000, entry: laterStart};
const STORMS: readonly Storm[] = [
  {...BASE, name: 'from a second after the submit on'},
  {...BASE, name: 'from the submit on', beginMillis: 0},
  {...BASE, name: 'of two starts in turn', entry: twoStarts},
  {...BASE, name: 'beside a take-over', takesOver: true},
  {
    ...BASE,
    name: 'beside lost answers to orders',
    beginMillis: 0,
    losesOrderAnswers: true,
  },
  {...BASE, name: 'beside late answers', answerDelayMillis: 150},
  {
    ...BASE,
    name: 'of two starts in turn beside late answers',
    entry: twoStarts,
    answerDelayMillis: 150,
  },
  {
    ...BASE,
    name: 'beside late answers and a take-over',
    answerDelayMillis: 150,
    takesOver: true,
  },
  {
    ...BASE,
    name: 'of another address beside a take-over',
    entry: () => OTHER_ADDRESS,
    takesOver: true,
  },
];

/** Builds a site of two workers with the faults beside a storm. */
async function buildSite(storm: Storm): Promise<[ModelSite, ModelWorker]> {
  const site = buildModelSite({workers: 2, policies: [POLICY]});
  await site.run(1000);
  const [worker] = site.workers;
  delayAnswers(site, worker, storm.answerDelayMillis ?? 0);
  if (storm.losesOrderAnswers) {
    let orders = 0;
    site.faultState = {
      ...site.faultState,
      losesOrderAnswer: () => ++orders % 3 === 1,
      orderDelayMillis: () => 2000,
    };
  }
  return [site, worker];
}

/** Schedules the foreign entries and, every heartbeat, the worker's own. */
function scheduleEntries(
  site: ModelSite,
  worker: ModelWorker,
  {beginMillis, entry}: Storm,
): void {
  for (let number = 1; number <= ENTRY_COUNT; number++) {
    site.clock.after(beginMillis + number * REPEAT_MILLIS, () =>
      writeForeignEntry(site, worker, entry(number)),
    );
  }
  const endMillis = beginMillis + ENTRY_COUNT * REPEAT_MILLIS;
  for (
    let millis = OWN_ENTRY_MILLIS;
    millis <= endMillis + OWN_ENTRY_MILLIS;
    millis += OWN_ENTRY_MILLIS
  ) {
    site.clock.after(millis + REPEAT_MILLIS / 2, () =>
      site.writeRegistryEntry(worker),
    );
  }
}

for (const storm of STORMS) {
  void t.test(
    `no worker loses its leases to foreign entries that go on ${storm.name}`,
    async t => {
      const [site, worker] = await buildSite(storm);
      const step = buildStep({
        count: TASK_COUNT,
        estimateMillis: 12_000,
        dataRack: worker.rack,
      });
      const receivedAt = site.clock.now;
      const job = buildJob(JOB_ID, [step], {policy: POLICY, receivedAt});
      void site.submit(site.hosts[0], job);
      scheduleEntries(site, worker, storm);
      if (storm.takesOver) {
        site.clock.after(TAKE_OVER_MILLIS, () => endHolder(site));
      }
      await site.run(45_000);
      t.same(site.checker.violations, []);
      t.equal(site.checker.countStarts(JOB_ID), TASK_COUNT);
      const host = site.hosts.find(({isUp}) => isUp) ?? site.hosts[0];
      t.equal(site.readJobState(host, JOB_ID), 'completed');
    },
  );
}
