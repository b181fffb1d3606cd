/** Review of issue 30: foreign entries that go on, from one second after the submit. */
import t from 'tap';
import {type ModelSite, type ModelWorker, buildJob, buildModelSite, buildStep} from '../../index';
import {OTHER_ADDRESS, POLICY, changeEntry, endHolder, writeForeignEntry} from './foreignEntryFixture';

const JOB_ID = '00000000000000d0';

function delayAnswers(site: ModelSite, worker: ModelWorker, millis: number) {
  const poll = worker.poll.bind(worker);
  worker.poll = async (...call) => {
    const report = await poll(...call);
    await new Promise<void>(resolve => site.clock.after(millis, resolve));
    return report;
  };
}

interface Case {
  name: string;
  beginMillis: number;
  every: number;
  answerMillis?: number;
  alternates?: boolean;
  takesOver?: number;
  lossy?: boolean;
  address?: boolean;
}

const CASES: Case[] = [
  {name: 'earlier trial', beginMillis: 1000, every: 100},
  {name: 'from the submit on', beginMillis: 0, every: 100},
  {name: 'alternating', beginMillis: 1000, every: 100, alternates: true},
  {name: 'take-over', beginMillis: 1000, every: 100, takesOver: 3000},
  {name: 'lost order answers', beginMillis: 0, every: 100, lossy: true},
  {name: 'answers 150 ms late', beginMillis: 1000, every: 100, answerMillis: 150},
  {name: 'answers 150 ms late, alternating', beginMillis: 1000, every: 100, answerMillis: 150, alternates: true},
  {name: 'answers 150 ms late, take-over', beginMillis: 1000, every: 100, answerMillis: 150, takesOver: 3000},
  {name: 'other address each 100 ms, take-over', beginMillis: 1000, every: 100, address: true, takesOver: 3000},
];

for (const c of CASES) {
  void t.test(`foreign entries that go on: ${c.name}`, async t => {
    const site = buildModelSite({workers: 2, policies: [POLICY]});
    await site.run(1000);
    const [worker] = site.workers;
    if (c.answerMillis) {
      delayAnswers(site, worker, c.answerMillis);
    }
    if (c.lossy) {
      let orders = 0;
      site.faultState = {
        ...site.faultState,
        losesOrderAnswer: () => ++orders % 3 === 1,
        orderDelayMillis: () => 2000,
      };
    }
    const step = buildStep({count: 3, estimateMillis: 12_000, dataRack: worker.rack});
    const job = buildJob(JOB_ID, [step], {policy: POLICY, receivedAt: site.clock.now});
    void site.submit(site.hosts[0], job);
    const count = 200;
    for (let n = 1; n <= count; n++) {
      site.clock.after(c.beginMillis + n * c.every, () =>
        writeForeignEntry(site, worker, c.address ? OTHER_ADDRESS : {
          name: '',
          build: () => changeEntry(worker, {born: c.alternates ? 100 + (n % 2) : worker.born + n}),
        }),
      );
    }
    for (let millis = 1500; millis <= 24_000; millis += 1500) {
      site.clock.after(millis + 50, () => site.writeRegistryEntry(worker));
    }
    if (c.takesOver) {
      site.clock.after(c.takesOver, () => endHolder(site));
    }
    await site.run(45_000);
    const counts = new Map<string, number>();
    for (const line of site.events) {
      const {event, detail = ''} = JSON.parse(line) as {event: string; detail?: string};
      const key = `${event} ${/^(worker-(silent|gone|lapsed)|run-ended|run-stopping|start-not)/.test(event) ? detail : ''}`;
      counts.set(key, 1 + (counts.get(key) ?? 0));
    }
    t.comment(JSON.stringify([...counts].filter(([k]) => /worker|run-|start-|job-/.test(k))));
    t.same(site.checker.violations, []);
    t.equal(site.checker.countStarts(JOB_ID), 3);
    const host = site.hosts.find(({isUp}) => isUp) ?? site.hosts[0];
    t.equal(site.readJobState(host, JOB_ID), 'completed');
  });
}
