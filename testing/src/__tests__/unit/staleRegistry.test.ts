import t from 'tap';
import {
  PROMPT_READS,
  buildJob,
  buildModelSite,
  buildPolicy,
  buildStep,
  changeCapacity,
} from '../../index';

const POLICY = buildPolicy();
const SMALL = {cpuMillis: 1000, memoryMegabytes: 2000, accelerators: 0};
const LARGE_NEED = {cpuMillis: 6000, memoryMegabytes: 4000, accelerators: 0};
/** By when a shrunken capacity counts. */
const GRACE_MILLIS = 6000;

void t.test(
  'no task starts by a registry that can not be read for seconds',
  async t => {
    const site = buildModelSite({workers: 1, policies: [POLICY]});
    await site.run(1000);
    // The journal can be written meanwhile.
    let isRegistryReadable = false;
    site.log.readBehaviour = (_, stream) => ({
      ...PROMPT_READS,
      isAvailable: stream !== 'workers' || isRegistryReadable,
    });
    changeCapacity(site, site.workers[0], SMALL);
    await site.run(GRACE_MILLIS);
    const steps = [buildStep({need: LARGE_NEED})];
    const job = buildJob('00000000000000f0', steps, {
      policy: POLICY,
      receivedAt: site.clock.now,
    });
    void site.submit(site.hosts[0], job);
    await site.run(1000);
    t.same(site.checker.violations, []);
    isRegistryReadable = true;
    changeCapacity(site, site.workers[0], {...LARGE_NEED, cpuMillis: 8000});
    await site.run(2000);
    t.equal(site.readJobState(site.hosts[0], job.id), 'completed');
  },
);
