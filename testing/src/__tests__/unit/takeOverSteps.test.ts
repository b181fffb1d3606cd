import t from 'tap';
import {buildJob, buildModelSite, buildPolicy, buildStep} from '../../index';

const ADVICE = {decisionMillis: 10, perWorkerMillis: 1, validityMillis: 2500};

void t.test('a holding logs when it reaches each step once', async t => {
  const policy = buildPolicy({advice: ADVICE});
  const site = buildModelSite({policies: [policy]});
  await site.run(1000);
  for (const id of ['00000000000000d0', '00000000000000d1']) {
    void site.submit(
      site.hosts[0],
      buildJob(id, [buildStep()], {policy, receivedAt: 1000}),
    );
  }
  await site.run(2000);
  const reached = site.events
    .map(line => JSON.parse(line) as {event: string; detail: string})
    .filter(({event}) => event === 'take-over-reached')
    .map(({detail}) => detail);
  t.same(reached, [
    'requests-read',
    'advice-requested',
    'advice-received',
    'step-placed',
  ]);
});
