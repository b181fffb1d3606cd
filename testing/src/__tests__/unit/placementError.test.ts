import {PLACE_TASKS} from '@samphireramp/dispatch';
import t from 'tap';
import {buildJob, buildModelSite, buildStep} from '../../index';

void t.test('placement goes on after a pass that failed', async t => {
  const site = buildModelSite();
  await site.run(1000);
  let failures = 0;
  site.holder()?.kernel.registerCommand(PLACE_TASKS, () => {
    if (failures < 3) {
      failures++;
      throw new Error('a pass fails');
    }
  });
  const job = buildJob('00000000000000c1', [buildStep()], {receivedAt: 1000});
  void site.submit(site.hosts[0], job);
  await site.run(3000);
  t.equal(failures, 3);
  t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
});
